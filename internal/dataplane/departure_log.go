package dataplane

import (
	"sync/atomic"

	"curlewwalk/internal/dataplane/endpoints"
)

// departureLog counts and logs what own backends said about leaving, and announcements that
// did not count: afterwards that explains why a backend got requests, or none. The agent's
// actor writes it, metrics read the counts.
type departureLog struct {
	// notice logs a line for operators; nil for none.
	notice func(message string, attributes ...any)
	counts [numDepartureEvents]atomic.Int64
}

// departureEvent is what an announcement or a message of leaving came to, unless it simply
// registers a backend.
type departureEvent int

const (
	// eventLeaving: the backend is leaving from now on.
	eventLeaving departureEvent = iota
	// eventUnknownLeft: a backend that isn't known has left.
	eventUnknownLeft
	// eventOvertaken: a later announcement of the backend came before this one.
	eventOvertaken
	// eventLate: a backend that has left announces itself as if it had not.
	eventLate
	// eventDoubted: the announcement is not its backend's first, though none came before.
	eventDoubted
	numDepartureEvents
)

// departureEventNames are the events' names in logs and metrics.
var departureEventNames = [numDepartureEvents]string{
	eventLeaving:     "leaving",
	eventUnknownLeft: "unknown-left",
	eventOvertaken:   "overtaken",
	eventLate:        "late",
	eventDoubted:     "doubted",
}

// What said that a backend is leaving, as logged.
const (
	sourceAnnouncement = "announcement"
	sourceDelete       = "delete"
)

// record counts an event and logs it.
func (d *departureLog) record(event departureEvent, instance string, attributes ...any) {
	d.counts[event].Add(1)
	if d.notice == nil {
		return
	}
	attributes = append([]any{"event", departureEventNames[event], "instance", instance}, attributes...)
	d.notice("backend departure", attributes...)
}

// observeAnnouncement records what an announcement came to, from the registry before and
// after it.
func (d *departureLog) observeAnnouncement(announcement endpoints.Announcement, before, after endpoints.Registry) {
	instance, sequence := announcement.Instance, announcement.Sequence
	endpoint, _ := before.Lookup(instance)
	switch {
	case before.HasDeparted(instance) && !announcement.Draining:
		d.record(eventLate, instance, "sequence", sequence)
	case after.IsUnconfirmed(instance):
		d.record(eventDoubted, instance, "sequence", sequence)
	case endpoint.Supersedes(announcement):
		d.record(eventOvertaken, instance, "sequence", sequence)
	case !before.HasDeparted(instance) && after.HasDeparted(instance):
		d.record(eventLeaving, instance, "source", sourceAnnouncement, "sequence", sequence)
	}
}

// observeRemoval records a message of leaving that is not an announcement. known tells
// whether the backend was registered, alreadyDeparted whether it had said so before.
func (d *departureLog) observeRemoval(instance string, known, alreadyDeparted bool) {
	switch {
	case alreadyDeparted:
	case known:
		d.record(eventLeaving, instance, "source", sourceDelete)
	default:
		d.record(eventUnknownLeft, instance, "source", sourceDelete)
	}
}
