// Package maintenance reads maintenance windows from iCalendar files and decides what
// they ask for. (DESIGN 17)
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
	// MaxBytes bounds a calendar.
	MaxBytes = 256 << 10
	// maxEvents bounds its events, longest one of them.
	maxEvents   = 200                 // (ours)
	maxDuration = 31 * 24 * time.Hour // (ours)
)

// Calendar is a checked file of windows. Each event empties the zone that its
// LOCATION names; recurrence and time zones are as the library reads them.
type Calendar struct{ events []event }

type event struct {
	uid, zone, summary string
	start              time.Time
	duration           time.Duration
	recurrence         *rrule.Set // nil if it does not recur
}

// Between lists the occurrences that go on at some moment of a stretch, by their
// begin.
func (c Calendar) Between(from, to time.Time) (out []Occurrence) {
	for _, e := range c.events {
		begins := []time.Time{e.start}
		if e.recurrence != nil {
			begins = e.recurrence.Between(from.Add(-e.duration), to, true)
		}
		for _, b := range begins {
			o := Occurrence{ID: e.uid + " " + b.UTC().Format(time.RFC3339), Zone: e.zone, Start: b, End: b.Add(e.duration), Summary: e.summary}
			if o.End.After(from) && !o.Start.After(to) {
				out = append(out, o)
			}
		}
	}
	slices.SortFunc(out, func(a, b Occurrence) int { return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.ID, b.ID)) })
	return out
}

// decode has the library read a file.
func decode(b []byte) (*ical.Calendar, error) { return ical.NewDecoder(bytes.NewReader(b)).Decode() }
