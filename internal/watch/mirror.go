package watch

import (
	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// Mirror is what a node has of the feeds that it followed: a decision value that
// one thread owns. (DESIGN 8.2)
type Mirror struct {
	Nodes    map[string]membership.Node
	revision uint64
}

// NewMirror makes an empty copy.
func NewMirror() *Mirror { return &Mirror{Nodes: map[string]membership.Node{}} }

// Apply takes news. word is set if there is one to be put in force; changed tells
// whether nodes came, went or changed.
func (mirror *Mirror) Apply(updates Updates) (word *config.ControlState, changed bool) {
	if updates.Snapshot {
		clear(mirror.Nodes)
	}
	for _, event := range updates.Events {
		switch {
		case event.State != nil:
			if mirror.AdvanceTo(*event.State) {
				word = event.State
			}
		case event.Node != nil:
			mirror.Nodes[event.Node.Addr] = *event.Node
		default:
			delete(mirror.Nodes, event.RemovedNode)
		}
	}
	return word, len(updates.Events) > 0 || updates.Snapshot
}

// AdvanceTo takes a word from anywhere; false if it is none newer than what was taken
// before: a node never goes back.
func (mirror *Mirror) AdvanceTo(state config.ControlState) bool {
	if state.Revision <= mirror.revision {
		return false
	}
	mirror.revision = state.Revision
	return true
}

// MergeNodes takes the soft states that other nodes than a core tell of, and the boots of
// nodes whose processes are gone; it tells whether that changed anything. Of one boot
// the later revision stays.
func (mirror *Mirror) MergeNodes(nodes []membership.Node, dead map[string]uint64) (changed bool) {
	for _, n := range nodes {
		if old, ok := mirror.Nodes[n.Addr]; ok && old.Incarnation == n.Incarnation && old.Version >= n.Version {
			continue
		}
		mirror.Nodes[n.Addr], changed = n, true
	}
	for addr, incarnation := range dead {
		if n, ok := mirror.Nodes[addr]; ok && n.Incarnation == incarnation {
			delete(mirror.Nodes, addr)
			changed = true
		}
	}
	return changed
}
