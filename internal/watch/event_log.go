package watch

import (
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

const (
	// maxEvents is how many events are kept for watchers to continue from.
	maxEvents = 1024 // (ours)
	// StartupDelay is how long a replica only listens after its start or a pause: until the
	// nodes have sent their heartbeats, a snapshot would lack most of them.
	StartupDelay = 700 * time.Millisecond // (ours)
)

// EventLog is what a replica delivers to watchers: the newest committed control state, the nodes,
// and the numbered changes of both. It also answers what only the replica itself asks: which nodes
// lag, are suspected, or still run requests in a zone that is drained.
//
// It is not safe for concurrent use. Times are durations since the owner's start.
type EventLog struct {
	// ID identifies the log: offsets of another one mean nothing in it.
	ID uint64
	// offset is the number of the newest event, the last of events.
	offset uint64
	events []Event

	// state is the newest committed control state, version its encoding, and history has the
	// latest versions to make patches from.
	state   *config.ControlState
	version config.Version
	history config.VersionHistory

	// nodes are the known nodes by address, and lastHeartbeat is when each sent one.
	nodes         map[string]membership.Node
	lastHeartbeat map[string]time.Duration
	departures    departureLog
	// drainedSince is since when an evacuated zone is drained.
	drainedSince map[string]time.Duration

	// readyAt is when the log may be delivered.
	readyAt  time.Duration
	lastTick time.Duration
}

// NewEventLog makes an empty log.
func NewEventLog(id uint64, now time.Duration) *EventLog {
	return &EventLog{
		ID:            id,
		nodes:         map[string]membership.Node{},
		lastHeartbeat: map[string]time.Duration{},
		readyAt:       now + StartupDelay,
		lastTick:      now,
	}
}

// DetectPause is called before anything else that happens. If the ticks have stopped for a while,
// the process was frozen or starved: heartbeats could not arrive meanwhile, so the log starts
// anew, under a new ID. The control state and the departures stay.
func (l *EventLog) DetectPause(now time.Duration) {
	if now-l.lastTick <= nodeTimeout/2 {
		return
	}
	next := NewEventLog(l.ID+1, now)
	next.state, next.version, next.history = l.state, l.version, l.history
	next.departures = l.departures
	*l = *next
}

// Ready reports whether the log may be delivered yet.
func (l *EventLog) Ready(now time.Duration) bool { return now >= l.readyAt }

// State returns the newest committed control state, nil if there is none.
func (l *EventLog) State() *config.ControlState { return l.state }

// ObserveCommitted takes a committed control state; it reports whether that is newer than the one
// before.
func (l *EventLog) ObserveCommitted(state config.ControlState) bool {
	if l.state != nil && state.Revision <= l.state.Revision {
		return false
	}
	state = state.ForSidecars()
	for i := range l.events {
		if l.events[i].State != nil {
			l.events[i] = Event{} // superseded: no watcher needs it, however far behind
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

// Since returns what a watcher asks for, except for Age; fresh is false if there is nothing new
// for it.
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

// withStatePatch replaces the control state among events by a patch of the one that the watcher
// has, given by its fingerprint, if that is much shorter; it removes the control state if the
// watcher has it. It changes events in place.
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
