package watch

import (
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
)

const (
	// nodeTimeout is the time without a heartbeat after which a node is removed, suspected or not.
	nodeTimeout = 2 * time.Second
	// suspectedNodeTimeout replaces nodeTimeout for a node that its monitors suspect.
	suspectedNodeTimeout = 750 * time.Millisecond
	// suspicionQuorum is the number of monitors that must suspect a node. If there are fewer other
	// nodes, all of them must.
	suspicionQuorum = 2
)

// ObserveNode records the node received in a heartbeat. It reports whether that added an event.
func (l *EventLog) ObserveNode(n membership.Node, now time.Duration) bool {
	old, ok := l.nodes[n.Addr]
	l.lastHeartbeat[n.Addr] = now
	sameIncarnation := ok && old.Incarnation == n.Incarnation
	if sameIncarnation && (old.Version > n.Version || old.Version == n.Version && old.Sequence > n.Sequence) {
		return false // a later heartbeat arrived before this one
	}
	l.nodes[n.Addr] = n
	if sameIncarnation && old.Version == n.Version {
		return false
	}
	l.appendEvent(nodeEvent(n))
	return true
}

// ObserveStatus records the status received in a heartbeat in place of the node. It returns false
// if the log lacks the node in that incarnation or has it in an older version; the sender then has
// to send the full node. Until that arrives, the node is kept unchanged, with its backends. A
// status that is older than the log's node has arrived late and only counts as a heartbeat.
func (l *EventLog) ObserveStatus(status membership.NodeStatus, now time.Duration) bool {
	n, ok := l.nodes[status.Addr]
	if !ok || n.Incarnation != status.Incarnation {
		return false
	}
	l.lastHeartbeat[status.Addr] = now
	if n.Version == status.Version && n.Sequence <= status.Sequence {
		l.nodes[status.Addr] = n.WithStatus(status)
	}
	return n.Version >= status.Version
}

// ObserveDepartures records the departures that a node reports, however late they arrive. It
// returns the departures that earlier processes at the node's address reported and that the node
// lacks.
func (l *EventLog) ObserveDepartures(n membership.Node, now time.Duration) (missing []string) {
	return l.departures.observe(n, now)
}

// Tick removes the nodes that have timed out. It reports whether that added an event. It must be
// called at short intervals (see DetectPause).
func (l *EventLog) Tick(now time.Duration) bool {
	l.lastTick = now
	l.updateDrainedZones(now)
	changed := false
	for _, addr := range slices.Sorted(maps.Keys(l.nodes)) {
		silent := now - l.lastHeartbeat[addr]
		if silent > nodeTimeout || silent > suspectedNodeTimeout && l.suspectedByQuorum(addr) {
			delete(l.nodes, addr)
			delete(l.lastHeartbeat, addr)
			l.appendEvent(Event{RemovedNode: addr})
			changed = true
		}
	}
	return changed
}

// nodeEvent returns the event for a node, without the fields that only the replicas need.
func nodeEvent(n membership.Node) Event {
	n.Budgets, n.Suspects, n.OpenRequests, n.Departed, n.Sequence = nil, nil, nil, nil, 0
	return Event{Node: &n}
}

// Nodes returns the known nodes, sorted by address.
func (l *EventLog) Nodes() []membership.Node {
	var out []membership.Node
	for _, addr := range slices.Sorted(maps.Keys(l.nodes)) {
		out = append(out, l.nodes[addr])
	}
	return out
}

// LaggingNodes returns the addresses of the nodes that have not applied the revision yet. The
// result is never nil.
func (l *EventLog) LaggingNodes(revision uint64) []string {
	out := []string{}
	for _, n := range l.Nodes() {
		if n.AppliedRevision < revision {
			out = append(out, n.Addr)
		}
	}
	return out
}

// Budgets returns the newest counts by contract of each node.
func (l *EventLog) Budgets() (out []map[string]retrybudget.Counts) {
	for _, n := range l.nodes {
		out = append(out, n.Budgets)
	}
	return out
}

// suspectedByQuorum reports whether enough monitors suspect a node.
func (l *EventLog) suspectedByQuorum(addr string) bool {
	n := 0
	for _, monitor := range l.nodes {
		for _, suspicion := range monitor.Suspects {
			if suspicion.AppliesTo(l.nodes[addr]) {
				n++
			}
		}
	}
	return n > 0 && n >= min(suspicionQuorum, len(l.nodes)-1)
}

// Suspected returns the suspected nodes by address, each with the refutation that the node has to
// exceed.
func (l *EventLog) Suspected() map[string]uint64 {
	out := map[string]uint64{}
	for _, monitor := range l.nodes {
		for _, suspicion := range monitor.Suspects {
			n, ok := l.nodes[suspicion.Addr]
			if ok && suspicion.AppliesTo(n) {
				out[n.Addr] = max(out[n.Addr], suspicion.Refutation)
			}
		}
	}
	return out
}
