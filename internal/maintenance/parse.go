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

// Bounds on the year in which a recurring event starts. For a start in the distant past or future,
// the library would iterate over every occurrence.
const (
	firstRecurrenceYear = 2000
	lastRecurrenceYear  = 2100
)

// Parse parses and validates a calendar file. The path of a violation is a line of the file,
// counted from 1. If there are violations, the calendar is empty.
func Parse(file []byte) (Calendar, []config.FieldViolation) {
	p := &parser{lines: bytes.SplitAfter(file, []byte("\n"))}
	calendar := p.parse(file)
	if len(p.violations) > 0 {
		return Calendar{}, p.violations
	}
	return calendar, nil
}

// parser collects violations and determines their lines, which the library does not report.
type parser struct {
	lines      [][]byte
	eventLine  int // the line on which the current event begins
	violations []config.FieldViolation
}

func (p *parser) addViolation(line int, format string, args ...any) {
	p.violations = append(p.violations, config.FieldViolation{Path: fmt.Sprintf("line %d", line), Message: fmt.Sprintf(format, args...)})
}

// parse parses the file up to the first error that prevents further parsing.
func (p *parser) parse(file []byte) (calendar Calendar) {
	if len(file) > MaxBytes {
		p.addViolation(1, "the file is over %d bytes", MaxBytes)
		return calendar
	}
	decoded, err := decode(file)
	if err != nil {
		p.addViolation(p.firstBadLine(), "%v", err)
		return calendar
	}
	if decoded.Name != ical.CompCalendar {
		p.addViolation(1, "must be a %s", ical.CompCalendar)
		return calendar
	}
	lineOfUID := map[string]int{}
	for i, component := range decoded.Events() {
		p.eventLine = p.startLine(i)
		if i >= maxEvents {
			p.addViolation(p.eventLine, "over %d events", maxEvents)
			break
		}
		parsed, ok := p.parseEvent(component)
		if first, duplicate := lineOfUID[parsed.uid]; duplicate && ok {
			p.addViolation(p.propertyLine(ical.PropUID), "%q is the UID of line %d too", parsed.uid, first)
		}
		lineOfUID[parsed.uid] = p.eventLine
		calendar.events = append(calendar.events, parsed)
	}
	return calendar
}

// firstBadLine returns the first line that the library cannot decode. It searches for the shortest
// prefix of the file whose error is not an unexpected end of file.
func (p *parser) firstBadLine() int {
	i := sort.Search(len(p.lines), func(i int) bool {
		_, err := decode(bytes.Join(p.lines[:i+1], nil))
		return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
	})
	return min(i+1, len(p.lines))
}

// startLine returns the line on which the event with the given index begins.
func (p *parser) startLine(index int) int {
	for i, line := range p.lines {
		if !strings.EqualFold(strings.TrimSpace(string(line)), "BEGIN:VEVENT") {
			continue
		}
		if index == 0 {
			return i + 1
		}
		index--
	}
	return 1
}

// propertyLine returns the line of a property of the current event. If the event does not have the
// property, it returns the first line of the event.
func (p *parser) propertyLine(name string) int {
	for i := p.eventLine; i < len(p.lines); i++ {
		line := strings.ToUpper(strings.TrimSpace(string(p.lines[i])))
		if strings.HasPrefix(line, name+":") || strings.HasPrefix(line, name+";") {
			return i + 1
		}
		if line == "END:VEVENT" {
			break
		}
	}
	return p.eventLine
}

// parseEvent parses the current event. ok is false if the event has a violation.
func (p *parser) parseEvent(component ical.Event) (parsed event, ok bool) {
	before := len(p.violations)
	parsed.uid = p.text(component, ical.PropUID, true)
	parsed.zone = p.text(component, ical.PropLocation, true)
	parsed.summary = p.text(component, ical.PropSummary, false)
	if parsed.zone != "" && !config.IsValidName(parsed.zone) {
		p.addViolation(p.propertyLine(ical.PropLocation), "LOCATION %q: must be %s", parsed.zone, config.NameRules)
	}
	if p.parseTimes(component, &parsed) {
		p.parseRecurrence(component, &parsed)
	}
	return parsed, len(p.violations) == before
}

// text returns the text of a property of the current event. A missing required property is a
// violation.
func (p *parser) text(component ical.Event, name string, required bool) string {
	property := component.Props.Get(name)
	if property == nil {
		if required {
			p.addViolation(p.eventLine, "the event has no %s", name)
		}
		return ""
	}
	text, err := property.Text()
	if err != nil {
		p.addViolation(p.propertyLine(name), "%s: %v", name, err)
	}
	return text
}

// parseTimes parses the start and the duration of the current event. Times without a time zone are
// in UTC. parseTimes returns false if the start or the end cannot be parsed.
func (p *parser) parseTimes(component ical.Event, parsed *event) bool {
	if component.Props.Get(ical.PropDateTimeStart) == nil {
		p.addViolation(p.eventLine, "the event has no DTSTART")
		return false
	}
	var err error
	if parsed.start, err = component.DateTimeStart(time.UTC); err != nil {
		p.addViolation(p.propertyLine(ical.PropDateTimeStart), "DTSTART: %v", err)
		return false
	}
	end, err := component.DateTimeEnd(time.UTC)
	if err != nil {
		p.addViolation(p.propertyLine(ical.PropDateTimeEnd), "DTEND or DURATION: %v", err)
		return false
	}
	parsed.duration = end.Sub(parsed.start)
	if parsed.duration <= 0 || parsed.duration > maxDuration {
		p.addViolation(p.eventLine, "lasts %v: must be more than 0s, at most %v", parsed.duration, maxDuration)
	}
	return true
}

// parseRecurrence parses the recurrence rule of the current event, if it has one. Rules that recur
// more often than daily are violations; the library orders frequencies from yearly to secondly.
func (p *parser) parseRecurrence(component ical.Event, parsed *event) {
	if component.Props.Get(ical.PropRecurrenceRule) == nil {
		return
	}
	line := p.propertyLine(ical.PropRecurrenceRule)
	set, err := component.RecurrenceSet(time.UTC)
	if err != nil || set == nil {
		p.addViolation(line, "RRULE: %v", err)
		return
	}
	rule := set.GetRRule()
	if rule == nil || rule.OrigOptions.Freq > rrule.DAILY {
		p.addViolation(line, "RRULE: must recur by day, week, month or year")
		return
	}
	if parsed.start.Year() < firstRecurrenceYear || parsed.start.Year() > lastRecurrenceYear {
		p.addViolation(p.propertyLine(ical.PropDateTimeStart), "DTSTART: a recurring event must begin between %d and %d", firstRecurrenceYear, lastRecurrenceYear)
		return
	}
	parsed.recurrence = set
}
