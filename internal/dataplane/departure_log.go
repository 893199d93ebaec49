package dataplane

import (
	"sync/atomic"

	"curlewwalk/internal/dataplane/endpoints"
)

// departureLog counts and tells what own backends said of leaving, and the announcements
// that came late: such lines say afterwards why a backend was given requests, or none.
// The steward's thread writes, metrics read.
type departureLog struct {
	// notice prints a line for operators.
	notice func(message string, attributes ...any)
	counts [numDepartureEvents]atomic.Int64
}

// departureEvent is what a backend's announcement or word of leaving came to, where that is not
// simply that it is there.
type departureEvent int

const (
	// eventLeaving is of a backend that is leaving from now on.
	eventLeaving departureEvent = iota
	// eventUnknownLeft is a word of leaving of a backend that is not known.
	eventUnknownLeft
	// eventOvertaken is an announcement that a later one came before.
	eventOvertaken
	// eventLate is an announcement of a backend that has said that it leaves, and which
	// does not say so.
	eventLate
	// eventDoubted is an announcement of one that should have been heard before.
	eventDoubted
	numDepartureEvents
)

// departureEventNames are the words as logs and metrics name them.
var departureEventNames = [numDepartureEvents]string{"leaving", "unknown-left", "overtaken", "late", "doubted"}

// record counts a word and prints it.
func (d *departureLog) record(event departureEvent, instance string, attributes ...any) {
	d.counts[event].Add(1)
	if d.notice != nil {
		d.notice("backend "+departureEventNames[event], append([]any{"instance", instance}, attributes...)...)
	}
}

// observeAnnouncement compares a roster before and after an announcement.
func (d *departureLog) observeAnnouncement(announcement endpoints.Announcement, before, after endpoints.Registry) {
	entry, _ := before.Lookup(announcement.Instance)
	switch {
	case before.HasDeparted(announcement.Instance) && !announcement.Draining:
		d.record(eventLate, announcement.Instance, "count", announcement.Sequence)
	case after.IsUnconfirmed(announcement.Instance):
		d.record(eventDoubted, announcement.Instance, "count", announcement.Sequence)
	case entry.Supersedes(announcement):
		d.record(eventOvertaken, announcement.Instance, "count", announcement.Sequence)
	case !before.HasDeparted(announcement.Instance) && after.HasDeparted(announcement.Instance):
		d.record(eventLeaving, announcement.Instance, "by", "announcement", "count", announcement.Sequence)
	}
}

// observeRemoval takes a word of leaving that is no announcement; before tells whether the instance
// had said so already.
func (d *departureLog) observeRemoval(instance string, known, alreadyDeparted bool) {
	switch {
	case alreadyDeparted:
	case known:
		d.record(eventLeaving, instance, "by", "delete")
	default:
		d.record(eventUnknownLeft, instance, "by", "delete")
	}
}
