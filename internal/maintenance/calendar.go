package maintenance

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/emersion/go-ical"
	"github.com/teambition/rrule-go"
)

const (
	// MaxBytes bounds a calendar file.
	MaxBytes = 256 << 10
	// maxEvents bounds its events.
	maxEvents = 200 // (ours)
	// maxDuration bounds one window.
	maxDuration = 31 * 24 * time.Hour // (ours)
)

// Calendar is a valid calendar file. The zero value has no windows.
type Calendar struct{ events []event }

// event is one event of a calendar, with all its occurrences.
type event struct {
	uid, zone, summary string
	start              time.Time
	duration           time.Duration
	recurrence         *rrule.Set // nil if it does not recur
}

// Between lists the occurrences that are active at some moment from from to to, by their start.
func (c Calendar) Between(from, to time.Time) (occurrences []Occurrence) {
	for _, e := range c.events {
		for _, start := range e.startsBetween(from.Add(-e.duration), to) {
			occurrence := e.occurrenceAt(start)
			if occurrence.End.After(from) && !occurrence.Start.After(to) {
				occurrences = append(occurrences, occurrence)
			}
		}
	}
	slices.SortFunc(occurrences, func(a, b Occurrence) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.ID, b.ID))
	})
	return occurrences
}

// startsBetween lists the starts of a recurring event in a span, or the only start of another one.
func (e event) startsBetween(from, to time.Time) []time.Time {
	if e.recurrence == nil {
		return []time.Time{e.start}
	}
	return e.recurrence.Between(from, to, true)
}

func (e event) occurrenceAt(start time.Time) Occurrence {
	return Occurrence{
		ID:      e.uid + " " + start.UTC().Format(time.RFC3339),
		Zone:    e.zone,
		Start:   start,
		End:     start.Add(e.duration),
		Summary: e.summary,
	}
}

// decode reads the first calendar of a file.
func decode(file []byte) (*ical.Calendar, error) {
	return ical.NewDecoder(bytes.NewReader(file)).Decode()
}
