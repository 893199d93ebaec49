package watch

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// Mirror is what a sidecar has of the nodes and of the control state's revision, from the replicas
// that it watched and from other sidecars. It is not safe for concurrent use. (DESIGN 8.2)
type Mirror struct {
	// Nodes are the known nodes by address.
	Nodes map[string]membership.Node
	// revision is that of the newest control state that was accepted.
	revision uint64
}

// NewMirror makes an empty mirror.
func NewMirror() *Mirror { return &Mirror{Nodes: map[string]membership.Node{}} }

// Apply takes updates whose patches are decoded. state is a control state to put in force, nil if
// there is none newer; changed says whether there was any event.
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

// AdvanceTo accepts a control state from any source, unless it is no newer than the one accepted
// before: the revision in force never goes back.
func (m *Mirror) AdvanceTo(state config.ControlState) bool {
	if state.Revision <= m.revision {
		return false
	}
	m.revision = state.Revision
	return true
}

// MergeNodes takes nodes from other sidecars than their own, and the incarnations of nodes whose
// processes are gone, by address. It reports whether anything changed. Of one incarnation the
// higher version stays.
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
