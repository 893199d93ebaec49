package dataplane

import (
	"sync/atomic"

	"curlewwalk/internal/dataplane/endpoints"
)

// departureLog counts and logs departures of own backends, and announcements that were not
// applied normally. The log allows an operator to find out later why a backend did or did not
// receive requests. The agent's actor writes the log. The metrics read the counts from other
// goroutines.
type departureLog struct {
	// notice logs a line for operators. It may be nil.
	notice func(message string, attributes ...any)
	counts [numDepartureEvents]atomic.Int64
}

// departureEvent classifies the effect of an announcement or of a removal request. An
// announcement that simply registers a backend has no event.
type departureEvent int

const (
	// eventLeaving: the backend was marked as departed.
	eventLeaving departureEvent = iota
	// eventUnknownDeparted: a removal request named a backend that is not registered. The
	// backend is marked as departed all the same.
	eventUnknownDeparted
	// eventSuperseded: a later announcement of the same backend had already arrived.
	eventSuperseded
	// eventAfterDeparture: a departed backend announced itself without marking itself as
	// draining.
	eventAfterDeparture
	// eventUnconfirmed: the announcement is not the backend's first, but this sidecar has
	// received no earlier one.
	eventUnconfirmed
	numDepartureEvents
)

// departureEventNames holds the names of the events in logs and metrics.
var departureEventNames = [numDepartureEvents]string{
	eventLeaving:         "leaving",
	eventUnknownDeparted: "unknown-left",
	eventSuperseded:      "overtaken",
	eventAfterDeparture:  "late",
	eventUnconfirmed:     "doubted",
}

// Sources of a departure, as logged.
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

// observeAnnouncement records the effect of an announcement, given the registry before and
// after it.
func (d *departureLog) observeAnnouncement(announcement endpoints.Announcement, before, after endpoints.Registry) {
	instance, sequence := announcement.Instance, announcement.Sequence
	endpoint, _ := before.Lookup(instance)
	switch {
	case before.HasDeparted(instance) && !announcement.Draining:
		d.record(eventAfterDeparture, instance, "sequence", sequence)
	case after.IsUnconfirmed(instance):
		d.record(eventUnconfirmed, instance, "sequence", sequence)
	case endpoint.Supersedes(announcement):
		d.record(eventSuperseded, instance, "sequence", sequence)
	case !before.HasDeparted(instance) && after.HasDeparted(instance):
		d.record(eventLeaving, instance, "source", sourceAnnouncement, "sequence", sequence)
	}
}

// observeRemoval records a removal request, which is a departure that is not reported by an
// announcement. known reports whether the backend was registered. alreadyDeparted reports
// whether the backend had been marked as departed before.
func (d *departureLog) observeRemoval(instance string, known, alreadyDeparted bool) {
	switch {
	case alreadyDeparted:
	case known:
		d.record(eventLeaving, instance, "source", sourceDelete)
	default:
		d.record(eventUnknownDeparted, instance, "source", sourceDelete)
	}
}
