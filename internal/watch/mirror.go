package watch

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// Mirror holds the nodes that a sidecar knows and the revision of its control state, received from
// the replicas that it watched and from other sidecars. It is not safe for concurrent use.
// (DESIGN 8.2)
type Mirror struct {
	// Nodes holds the known nodes by address.
	Nodes map[string]membership.Node
	// revision is the revision of the newest accepted control state.
	revision uint64
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror { return &Mirror{Nodes: map[string]membership.Node{}} }

// Apply applies updates whose patches have been decoded. state is the control state to put in
// force, or nil if the updates contain none that is newer. changed reports whether the updates
// contain an event or a snapshot.
func (m *Mirror) Apply(updates Updates) (state *config.ControlState, changed bool) {
	if updates.Snapshot {
		clear(m.Nodes)
	}
	for _, event := range updates.Events {
		switch {
		case event.State != nil:
			if m.AdvanceTo(*event.State) {
				state = event.State
			}
		case event.Node != nil:
			m.Nodes[event.Node.Addr] = *event.Node
		default:
			delete(m.Nodes, event.RemovedNode)
		}
	}
	return state, len(updates.Events) > 0 || updates.Snapshot
}

// AdvanceTo accepts a control state from any source if it is newer than the last accepted one, and
// reports whether it did. The revision in force never decreases.
func (m *Mirror) AdvanceTo(state config.ControlState) bool {
	if state.Revision <= m.revision {
		return false
	}
	m.revision = state.Revision
	return true
}

// MergeNodes merges nodes that came from other sidecars. dead holds the incarnations of nodes whose
// processes have ended, by address; these nodes are removed. MergeNodes reports whether anything
// changed. Of two versions of the same incarnation, the higher one is kept.
func (m *Mirror) MergeNodes(nodes []membership.Node, dead map[string]uint64) (changed bool) {
	for _, n := range nodes {
		old, ok := m.Nodes[n.Addr]
		if ok && old.Incarnation == n.Incarnation && old.Version >= n.Version {
			continue
		}
		m.Nodes[n.Addr], changed = n, true
	}
	for addr, incarnation := range dead {
		if n, ok := m.Nodes[addr]; ok && n.Incarnation == incarnation {
			delete(m.Nodes, addr)
			changed = true
		}
	}
	return changed
}
