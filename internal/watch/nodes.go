package watch

import (
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
)

const (
	// nodeTimeout is after how long without a heartbeat a node is removed, suspected or not.
	nodeTimeout = 2 * time.Second // (ours)
	// suspectedNodeTimeout is the same for a node that its monitors suspect.
	suspectedNodeTimeout = 750 * time.Millisecond // (ours)
	// suspicionQuorum is how many monitors must suspect it, if there are so many.
	suspicionQuorum = 2 // (ours)
)

// ObserveNode takes the node that a heartbeat brought; it reports whether that makes an event.
func (l *EventLog) ObserveNode(n membership.Node, now time.Duration) bool {
	old, ok := l.nodes[n.Addr]
	l.lastHeartbeat[n.Addr] = now
	sameIncarnation := ok && old.Incarnation == n.Incarnation
	if sameIncarnation && (old.Version > n.Version || old.Version == n.Version && old.Sequence > n.Sequence) {
		return false // a later heartbeat overtook this one
	}
	l.nodes[n.Addr] = n
	if sameIncarnation && old.Version == n.Version {
		return false
	}
	l.appendEvent(nodeEvent(n))
	return true
}

// ObserveStatus takes the status that a heartbeat brought in place of the node. It returns false
// if the node is not known in that version: then the full node has to be sent, and until it comes
// the node stays as it was, with its backends.
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

// ObserveDepartures takes the departures that a node reports, however late that comes, and returns
// those that earlier processes at its address reported and the node lacks.
func (l *EventLog) ObserveDepartures(n membership.Node, now time.Duration) (missing []string) {
	return l.departures.observe(n, now)
}

// Tick removes the nodes that have timed out; it reports whether that made an event. It is called
// at short intervals, see DetectPause.
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

// nodeEvent returns the event of a node: without what only the replicas need.
func nodeEvent(n membership.Node) Event {
	n.Budgets, n.Suspects, n.OpenRequests, n.Departed, n.Sequence = nil, nil, nil, nil, 0
	return Event{Node: &n}
}

// Nodes lists the known nodes by address.
func (l *EventLog) Nodes() []membership.Node {
	var out []membership.Node
	for _, addr := range slices.Sorted(maps.Keys(l.nodes)) {
		out = append(out, l.nodes[addr])
	}
	return out
}

// LaggingNodes lists the addresses of the nodes that have not applied a revision yet. It is never
// nil.
func (l *EventLog) LaggingNodes(revision uint64) []string {
	out := []string{}
	for _, n := range l.Nodes() {
		if n.AppliedRevision < revision {
			out = append(out, n.Addr)
		}
	}
	return out
}

// Budgets lists each node's newest counts by contract.
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

// Suspected returns the suspected nodes by address, each with the refutation that it has to
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
