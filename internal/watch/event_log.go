package watch

import (
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
)

const (
	maxEvents = 1024 // changes kept for followers to resume from (ours)
	// StartupDelay is how long after its start a core only listens: its directory
	// must be told again before a snapshot of it means anything.
	StartupDelay = 700 * time.Millisecond // (ours)
	// nodeTimeout is when a silent node is taken out, whoever accuses it or not.
	nodeTimeout = 2 * time.Second // (ours)
	// suspectedNodeTimeout is how long a node that its watchers accuse must be silent towards
	// this core too.
	suspectedNodeTimeout = 750 * time.Millisecond // (ours)
	// suspicionQuorum is how many watchers must accuse it, if there are so many.
	suspicionQuorum = 2 // (ours)
)

// EventLog is a core's directory and its numbered changes: a decision value that
// one thread owns. Times are durations since the owner's start.
type EventLog struct {
	ID     uint64
	offset uint64
	events []Event // items[i] has number place-len(items)+1+i
	state  *config.ControlState
	// version is that word's; versions are those of late, to tell differences from.
	version   config.Version
	history   config.VersionHistory
	nodes     map[string]membership.Node
	lastHeard map[string]time.Duration
	// drainedSince is since when an emptied zone has nothing open.
	drainedSince map[string]time.Duration
	departures   departureLog
	readyAt      time.Duration // not before this is the feed served
	lastTick     time.Duration
}

// NewEventLog makes an empty feed.
func NewEventLog(id uint64, now time.Duration) *EventLog {
	return &EventLog{ID: id, nodes: map[string]membership.Node{}, lastHeard: map[string]time.Duration{}, readyAt: now + StartupDelay, lastTick: now}
}

func (log *EventLog) appendEvent(event Event) {
	log.offset++
	log.events = append(log.events, event)
	if len(log.events) > maxEvents {
		log.events = slices.Delete(log.events, 0, len(log.events)-maxEvents)
	}
}

// ObserveCommitted takes a majority-held word; true if it is news.
func (log *EventLog) ObserveCommitted(state config.ControlState) bool {
	if log.state != nil && state.Revision <= log.state.Revision {
		return false
	}
	state = state.ForSidecars()
	for i := range log.events {
		if log.events[i].State != nil {
			log.events[i] = Event{} // nobody needs it any more, however far behind
		}
	}
	log.version, _ = config.NewVersion(state)
	log.history.Add(log.version)
	log.state = &state
	log.appendEvent(Event{State: &state})
	return true
}

// ObserveNode takes a node's own word; true if it is news.
func (log *EventLog) ObserveNode(n membership.Node, now time.Duration) bool {
	old, ok := log.nodes[n.Addr]
	log.lastHeard[n.Addr] = now
	if ok && old.Incarnation == n.Incarnation && (old.Version > n.Version || old.Version == n.Version && old.Sequence > n.Sequence) {
		return false // overtaken on the way
	}
	log.nodes[n.Addr] = n
	if ok && old.Incarnation == n.Incarnation && old.Version == n.Version {
		return false
	}
	log.appendEvent(nodeEvent(n))
	return true
}

// ObserveDepartures takes the departures that a node tells of, however late that comes, and returns
// what earlier processes at its address told besides.
func (log *EventLog) ObserveDepartures(n membership.Node, now time.Duration) (missing []string) {
	return log.departures.observe(n, now)
}

// ObserveStatus takes a node's pulse; false if the node is not known as whole as it was when
// that was told. Until it is told whole it stays as it was, its backends with it.
func (log *EventLog) ObserveStatus(status membership.NodeStatus, now time.Duration) bool {
	n, ok := log.nodes[status.Addr]
	if !ok || n.Incarnation != status.Incarnation {
		return false
	}
	log.lastHeard[status.Addr] = now
	if n.Version == status.Version && n.Sequence <= status.Sequence {
		log.nodes[status.Addr] = n.WithStatus(status)
	}
	return n.Version >= status.Version
}

// DetectPause comes before anything else that happens. After a gap in the ticks (a
// freeze) the feed starts anew: nobody could be heard meanwhile, and what piled
// up must not be answered from what was known before.
func (log *EventLog) DetectPause(now time.Duration) {
	if now-log.lastTick > nodeTimeout/2 {
		*log = EventLog{ID: log.ID + 1, state: log.state, version: log.version, history: log.history, nodes: map[string]membership.Node{}, lastHeard: map[string]time.Duration{}, departures: log.departures, readyAt: now + StartupDelay, lastTick: now}
	}
}

// nodeEvent is a node as followers get it: without what only cores sum up.
func nodeEvent(n membership.Node) Event {
	n.Budgets, n.Suspects, n.OpenRequests, n.Departed, n.Sequence = nil, nil, nil, nil, 0
	return Event{Node: &n}
}

// Tick takes out silent nodes; true if there was news.
func (log *EventLog) Tick(now time.Duration) bool {
	log.lastTick = now
	log.updateDrainedZones(now)
	changed := false
	for _, addr := range slices.Sorted(maps.Keys(log.nodes)) {
		silent := now - log.lastHeard[addr]
		if silent > nodeTimeout || silent > suspectedNodeTimeout && log.suspectedByQuorum(addr) {
			delete(log.nodes, addr)
			delete(log.lastHeard, addr)
			log.appendEvent(Event{RemovedNode: addr})
			changed = true
		}
	}
	return changed
}

// Ready tells whether the feed may be served yet.
func (log *EventLog) Ready(now time.Duration) bool { return now >= log.readyAt }

// Since answers a follower; fresh is false when there is nothing new for it.
func (log *EventLog) Since(req Request) (updates Updates, fresh bool) {
	updates = Updates{LogID: log.ID, Offset: log.offset}
	first := log.offset - uint64(len(log.events))
	if req.LogID == log.ID && req.Offset >= first && req.Offset <= log.offset {
		updates.Events = slices.DeleteFunc(slices.Clone(log.events[req.Offset-first:]), Event.superseded)
		fresh = len(updates.Events) > 0
		updates.Events = log.withStatePatch(updates.Events, req.StateFingerprint)
		return updates, fresh
	}
	updates.Snapshot = true
	if log.state != nil {
		updates.Events = log.withStatePatch([]Event{{State: log.state}}, req.StateFingerprint)
	}
	for _, addr := range slices.Sorted(maps.Keys(log.nodes)) {
		updates.Events = append(updates.Events, nodeEvent(log.nodes[addr]))
	}
	return updates, true
}

// withStatePatch is a list of items as a follower is told them that has a configuration already: the
// newest by its difference, or not at all if it has that.
func (log *EventLog) withStatePatch(events []Event, fingerprint []byte) []Event {
	i := slices.IndexFunc(events, func(event Event) bool { return event.State != nil })
	if i < 0 || len(fingerprint) != len(log.version.Fingerprint) {
		return events
	}
	base := config.Fingerprint(fingerprint)
	if base == log.version.Fingerprint {
		return slices.Delete(events, i, i+1)
	}
	if p, worthwhile := log.history.PatchFrom(log.version, base); worthwhile {
		events[i] = Event{StatePatch: &p}
	}
	return events
}

// State is the newest majority-held word, if any.
func (log *EventLog) State() *config.ControlState { return log.state }

// Nodes lists the known nodes by address.
func (log *EventLog) Nodes() []membership.Node {
	var out []membership.Node
	for _, addr := range slices.Sorted(maps.Keys(log.nodes)) {
		out = append(out, log.nodes[addr])
	}
	return out
}

// Budgets lists each node's newest tally.
func (log *EventLog) Budgets() (out []map[string]retrybudget.Counts) {
	for _, n := range log.nodes {
		out = append(out, n.Budgets)
	}
	return out
}

// suspectedByQuorum tells whether enough watchers accuse a node.
func (log *EventLog) suspectedByQuorum(addr string) bool {
	n := 0
	for _, monitor := range log.nodes {
		for _, a := range monitor.Suspects {
			if a.AppliesTo(log.nodes[addr]) {
				n++
			}
		}
	}
	return n > 0 && n >= min(suspicionQuorum, len(log.nodes)-1)
}

// Suspected lists the accused nodes with the incarnations to refute.
func (log *EventLog) Suspected() map[string]uint64 {
	out := map[string]uint64{}
	for _, monitor := range log.nodes {
		for _, a := range monitor.Suspects {
			if n, ok := log.nodes[a.Addr]; ok && a.AppliesTo(n) {
				out[a.Addr] = max(out[a.Addr], a.Refutation)
			}
		}
	}
	return out
}
