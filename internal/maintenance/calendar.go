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
	// MaxBytes bounds the size of a calendar file in bytes.
	MaxBytes = 256 << 10
	// maxEvents bounds the number of events in a calendar.
	maxEvents = 200
	// maxDuration bounds the duration of one window.
	maxDuration = 31 * 24 * time.Hour
)

// Calendar is a parsed and valid calendar. The zero value has no windows.
type Calendar struct{ events []event }

// event is one event of a calendar, which may recur.
type event struct {
	uid, zone, summary string
	start              time.Time
	duration           time.Duration
	recurrence         *rrule.Set // nil if it does not recur
}

// Between returns the occurrences that are active at some time between from and to, both included,
// sorted by start.
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

// startsBetween returns the starts of a recurring event between from and to. For an event that does
// not recur, it returns the single start.
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

// decode decodes the first calendar in a file. The rest of the file is ignored.
func decode(file []byte) (*ical.Calendar, error) {
	return ical.NewDecoder(bytes.NewReader(file)).Decode()
}
