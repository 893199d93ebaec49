package watch

import (
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

const (
	// maxEvents is the number of events that are kept for watchers to continue from.
	maxEvents = 1024
	// StartupDelay is how long a replica only receives heartbeats after its start or a pause.
	// Before the nodes have sent their heartbeats, a snapshot would lack most of them.
	StartupDelay = 700 * time.Millisecond
)

// EventLog holds what a replica delivers to watchers: the newest committed control state, the
// nodes, and the numbered changes of both. It also answers queries of the replica itself: which
// nodes lag, which are suspected, and which still process requests in a zone that is being drained.
//
// An EventLog is not safe for concurrent use. Times are durations since the owner's start.
type EventLog struct {
	// ID identifies the log. Offsets are valid only in the log that issued them.
	ID uint64
	// offset is the number of the newest event, which is the last element of events.
	offset uint64
	events []Event

	// state is the newest committed control state. version is its encoding. history holds the
	// latest versions, from which patches are made.
	state   *config.ControlState
	version config.Version
	history config.VersionHistory

	// nodes holds the known nodes by address. lastHeartbeat holds when each of them last sent a
	// heartbeat.
	nodes         map[string]membership.Node
	lastHeartbeat map[string]time.Duration
	departures    departureLog
	// drainedSince holds when each evacuated zone became drained.
	drainedSince map[string]time.Duration

	// readyAt is when delivery to watchers may start. lastTick is when Tick was last called.
	readyAt  time.Duration
	lastTick time.Duration
}

// NewEventLog returns an empty log.
func NewEventLog(id uint64, now time.Duration) *EventLog {
	return &EventLog{
		ID:            id,
		nodes:         map[string]membership.Node{},
		lastHeartbeat: map[string]time.Duration{},
		readyAt:       now + StartupDelay,
		lastTick:      now,
	}
}

// DetectPause must be called before any other method processes a message. If there was no tick for
// more than half of nodeTimeout, the process was suspended or starved of CPU time and could not
// receive heartbeats. The log then restarts without nodes and events, under a new ID. The control
// state and the departures are kept.
func (l *EventLog) DetectPause(now time.Duration) {
	if now-l.lastTick <= nodeTimeout/2 {
		return
	}
	next := NewEventLog(l.ID+1, now)
	next.state, next.version, next.history = l.state, l.version, l.history
	next.departures = l.departures
	*l = *next
}

// Ready reports whether the log may be delivered to watchers.
func (l *EventLog) Ready(now time.Duration) bool { return now >= l.readyAt }

// State returns the newest committed control state, or nil if there is none.
func (l *EventLog) State() *config.ControlState { return l.state }

// ObserveCommitted records a committed control state. It reports whether that control state is
// newer than the previous one.
func (l *EventLog) ObserveCommitted(state config.ControlState) bool {
	if l.state != nil && state.Revision <= l.state.Revision {
		return false
	}
	state = state.ForSidecars()
	for i := range l.events {
		if l.events[i].State != nil {
			l.events[i] = Event{} // superseded: no watcher needs it, even one that lags
		}
	}
	l.version, _ = config.NewVersion(state)
	l.history.Add(l.version)
	l.state = &state
	l.appendEvent(Event{State: &state})
	return true
}

func (l *EventLog) appendEvent(event Event) {
	l.offset++
	l.events = append(l.events, event)
	if len(l.events) > maxEvents {
		l.events = slices.Delete(l.events, 0, len(l.events)-maxEvents)
	}
}

// Since returns the updates for a request, without Age. fresh is false if there is nothing new for
// the watcher.
func (l *EventLog) Since(req Request) (updates Updates, fresh bool) {
	updates = Updates{LogID: l.ID, Offset: l.offset}
	first := l.offset - uint64(len(l.events))
	if req.LogID != l.ID || req.Offset < first || req.Offset > l.offset {
		updates.Snapshot, updates.Events = true, l.snapshot(req.StateFingerprint)
		return updates, true
	}
	events := slices.DeleteFunc(slices.Clone(l.events[req.Offset-first:]), Event.superseded)
	fresh = len(events) > 0
	updates.Events = l.withStatePatch(events, req.StateFingerprint)
	return updates, fresh
}

// snapshot returns the control state and all nodes as events.
func (l *EventLog) snapshot(fingerprint []byte) (events []Event) {
	if l.state != nil {
		events = l.withStatePatch([]Event{{State: l.state}}, fingerprint)
	}
	for _, n := range l.Nodes() {
		events = append(events, nodeEvent(n))
	}
	return events
}

// withStatePatch replaces the control state in events by a patch if the patch is at most half as
// long. The patch is relative to the control state that the watcher has, identified by its
// fingerprint. If the watcher already has the newest control state, withStatePatch removes it from
// events. It modifies events in place.
func (l *EventLog) withStatePatch(events []Event, fingerprint []byte) []Event {
	i := slices.IndexFunc(events, func(event Event) bool { return event.State != nil })
	if i < 0 || len(fingerprint) != len(l.version.Fingerprint) {
		return events
	}
	base := config.Fingerprint(fingerprint)
	if base == l.version.Fingerprint {
		return slices.Delete(events, i, i+1)
	}
	if patch, worthwhile := l.history.PatchFrom(l.version, base); worthwhile {
		events[i] = Event{StatePatch: &patch}
	}
	return events
}
