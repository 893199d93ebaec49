package maintenance

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/emersion/go-ical"
	"github.com/teambition/rrule-go"

	"curlewwalk/internal/config"
)

// Parse reads and checks a file; the faults name its lines.
func Parse(b []byte) (c Calendar, faults []config.FieldViolation) {
	p := &parser{lines: bytes.SplitAfter(b, []byte("\n"))}
	if len(b) > MaxBytes {
		p.addFault(1, "the file is over %d bytes", MaxBytes)
		return c, p.faults
	}
	cal, err := decode(b)
	if err != nil {
		p.addFault(p.firstBadLine(), "%v", err)
		return c, p.faults
	}
	if cal.Name != ical.CompCalendar {
		p.addFault(1, "must be a %s", ical.CompCalendar)
		return c, p.faults
	}
	seen := map[string]int{}
	for i, e := range cal.Events() {
		p.eventLine = p.startLine(i)
		if i >= maxEvents {
			p.addFault(p.eventLine, "over %d events", maxEvents)
			break
		}
		ev, ok := p.parseEvent(e)
		if first, dup := seen[ev.uid]; dup && ok {
			p.addFault(p.propertyLine("UID"), "%q is the UID of line %d too", ev.uid, first)
		}
		seen[ev.uid] = p.eventLine
		c.events = append(c.events, ev)
	}
	if len(p.faults) > 0 {
		return Calendar{}, p.faults
	}
	return c, nil
}

// parser finds the lines of what is wrong.
type parser struct {
	lines     [][]byte
	eventLine int // the line on which the event begins
	faults    []config.FieldViolation
}

func (p *parser) addFault(line int, format string, args ...any) {
	p.faults = append(p.faults, config.FieldViolation{Path: fmt.Sprintf("line %d", line), Message: fmt.Sprintf(format, args...)})
}

// firstBadLine is the first line that the library can't read: what stands before it
// only ends too early.
func (p *parser) firstBadLine() int {
	n := sort.Search(len(p.lines), func(n int) bool {
		_, err := decode(bytes.Join(p.lines[:n+1], nil))
		return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
	})
	return min(n+1, len(p.lines))
}

// startLine is the line on which an event begins.
func (p *parser) startLine(i int) int {
	for n, l := range p.lines {
		if strings.EqualFold(strings.TrimSpace(string(l)), "BEGIN:VEVENT") {
			if i--; i < 0 {
				return n + 1
			}
		}
	}
	return 1
}

// propertyLine is where a property of the event stands.
func (p *parser) propertyLine(name string) int {
	for n := p.eventLine; n < len(p.lines); n++ {
		text := strings.ToUpper(strings.TrimSpace(string(p.lines[n])))
		if strings.HasPrefix(text, name+":") || strings.HasPrefix(text, name+";") {
			return n + 1
		}
		if text == "END:VEVENT" {
			break
		}
	}
	return p.eventLine
}

// parseEvent takes one event.
func (p *parser) parseEvent(e ical.Event) (ev event, ok bool) {
	before := len(p.faults)
	text := func(name string, required bool) string {
		prop := e.Props.Get(name)
		if prop == nil {
			if required {
				p.addFault(p.eventLine, "the event has no %s", name)
			}
			return ""
		}
		s, err := prop.Text()
		if err != nil {
			p.addFault(p.propertyLine(name), "%s: %v", name, err)
		}
		return s
	}
	ev.uid, ev.zone, ev.summary = text(ical.PropUID, true), text(ical.PropLocation, true), text(ical.PropSummary, false)
	if ev.zone != "" && !config.IsValidName(ev.zone) {
		p.addFault(p.propertyLine(ical.PropLocation), "LOCATION %q: must be %s", ev.zone, config.NameRules)
	}
	if e.Props.Get(ical.PropDateTimeStart) == nil {
		p.addFault(p.eventLine, "the event has no DTSTART")
		return ev, false
	}
	var err error
	if ev.start, err = e.DateTimeStart(time.UTC); err != nil {
		p.addFault(p.propertyLine(ical.PropDateTimeStart), "DTSTART: %v", err)
		return ev, false
	}
	end, err := e.DateTimeEnd(time.UTC)
	if err != nil {
		p.addFault(p.propertyLine(ical.PropDateTimeEnd), "DTEND or DURATION: %v", err)
		return ev, false
	}
	if ev.duration = end.Sub(ev.start); ev.duration <= 0 || ev.duration > maxDuration {
		p.addFault(p.eventLine, "lasts %v: must be more than 0s, at most %v", ev.duration, maxDuration)
	}
	p.parseRecurrence(e, &ev)
	return ev, len(p.faults) == before
}

// parseRecurrence takes the event's rule.
func (p *parser) parseRecurrence(e ical.Event, ev *event) {
	if e.Props.Get(ical.PropRecurrenceRule) == nil {
		return
	}
	at := p.propertyLine(ical.PropRecurrenceRule)
	set, err := e.RecurrenceSet(time.UTC)
	if err != nil || set == nil {
		p.addFault(at, "RRULE: %v", err)
		return
	}
	r := set.GetRRule()
	if r == nil || r.OrigOptions.Freq > rrule.DAILY {
		p.addFault(at, "RRULE: must recur by day, week, month or year")
		return
	}
	if ev.start.Year() < 2000 || ev.start.Year() > 2100 {
		p.addFault(p.propertyLine(ical.PropDateTimeStart), "DTSTART: a recurring event must begin between 2000 and 2100")
		return
	}
	ev.recurrence = set
}
