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
		p.fault(1, "the file is over %d bytes", MaxBytes)
		return c, p.faults
	}
	cal, err := decode(b)
	if err != nil {
		p.fault(p.broken(), "%v", err)
		return c, p.faults
	}
	if cal.Name != ical.CompCalendar {
		p.fault(1, "must be a %s", ical.CompCalendar)
		return c, p.faults
	}
	seen := map[string]int{}
	for i, e := range cal.Events() {
		p.at = p.event(i)
		if i >= mostEvents {
			p.fault(p.at, "over %d events", mostEvents)
			break
		}
		ev, ok := p.read(e)
		if first, dup := seen[ev.uid]; dup && ok {
			p.fault(p.line("UID"), "%q is the UID of line %d too", ev.uid, first)
		}
		seen[ev.uid] = p.at
		c.events = append(c.events, ev)
	}
	if len(p.faults) > 0 {
		return Calendar{}, p.faults
	}
	return c, nil
}

// parser finds the lines of what is wrong.
type parser struct {
	lines  [][]byte
	at     int // the line on which the event begins
	faults []config.FieldViolation
}

func (p *parser) fault(line int, format string, args ...any) {
	p.faults = append(p.faults, config.FieldViolation{Path: fmt.Sprintf("line %d", line), Message: fmt.Sprintf(format, args...)})
}

// broken is the first line that the library can't read: what stands before it
// only ends too early.
func (p *parser) broken() int {
	n := sort.Search(len(p.lines), func(n int) bool {
		_, err := decode(bytes.Join(p.lines[:n+1], nil))
		return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
	})
	return min(n+1, len(p.lines))
}

// event is the line on which an event begins.
func (p *parser) event(i int) int {
	for n, l := range p.lines {
		if strings.EqualFold(strings.TrimSpace(string(l)), "BEGIN:VEVENT") {
			if i--; i < 0 {
				return n + 1
			}
		}
	}
	return 1
}

// line is where a property of the event stands.
func (p *parser) line(name string) int {
	for n := p.at; n < len(p.lines); n++ {
		text := strings.ToUpper(strings.TrimSpace(string(p.lines[n])))
		if strings.HasPrefix(text, name+":") || strings.HasPrefix(text, name+";") {
			return n + 1
		}
		if text == "END:VEVENT" {
			break
		}
	}
	return p.at
}

// read takes one event.
func (p *parser) read(e ical.Event) (ev event, ok bool) {
	before := len(p.faults)
	text := func(name string, required bool) string {
		prop := e.Props.Get(name)
		if prop == nil {
			if required {
				p.fault(p.at, "the event has no %s", name)
			}
			return ""
		}
		s, err := prop.Text()
		if err != nil {
			p.fault(p.line(name), "%s: %v", name, err)
		}
		return s
	}
	ev.uid, ev.zone, ev.summary = text(ical.PropUID, true), text(ical.PropLocation, true), text(ical.PropSummary, false)
	if ev.zone != "" && !config.IsValidName(ev.zone) {
		p.fault(p.line(ical.PropLocation), "LOCATION %q: must be %s", ev.zone, config.NameRules)
	}
	if e.Props.Get(ical.PropDateTimeStart) == nil {
		p.fault(p.at, "the event has no DTSTART")
		return ev, false
	}
	var err error
	if ev.begin, err = e.DateTimeStart(time.UTC); err != nil {
		p.fault(p.line(ical.PropDateTimeStart), "DTSTART: %v", err)
		return ev, false
	}
	end, err := e.DateTimeEnd(time.UTC)
	if err != nil {
		p.fault(p.line(ical.PropDateTimeEnd), "DTEND or DURATION: %v", err)
		return ev, false
	}
	if ev.length = end.Sub(ev.begin); ev.length <= 0 || ev.length > longest {
		p.fault(p.at, "lasts %v: must be more than 0s, at most %v", ev.length, longest)
	}
	p.recurrence(e, &ev)
	return ev, len(p.faults) == before
}

// recurrence takes the event's rule.
func (p *parser) recurrence(e ical.Event, ev *event) {
	if e.Props.Get(ical.PropRecurrenceRule) == nil {
		return
	}
	at := p.line(ical.PropRecurrenceRule)
	set, err := e.RecurrenceSet(time.UTC)
	if err != nil || set == nil {
		p.fault(at, "RRULE: %v", err)
		return
	}
	r := set.GetRRule()
	if r == nil || r.OrigOptions.Freq > rrule.DAILY {
		p.fault(at, "RRULE: must recur by day, week, month or year")
		return
	}
	if ev.begin.Year() < 2000 || ev.begin.Year() > 2100 {
		p.fault(p.line(ical.PropDateTimeStart), "DTSTART: a recurring event must begin between 2000 and 2100")
		return
	}
	ev.set = set
}
