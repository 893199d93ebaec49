package watch

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/membership"
)

// TestObserveStatus checks that a status is sufficient if the log has the node in the status's
// version or a later one. Otherwise the log requests the full node and keeps the node unchanged
// until that arrives.
func TestObserveStatus(t *testing.T) {
	known := membership.Node{Addr: "a", Incarnation: 7, Version: 4, Sequence: 10, AppliedRevision: 1, Backends: []membership.Backend{{Instance: "i"}}}
	applied := known
	applied.Sequence, applied.AppliedRevision = 11, 2
	for name, c := range map[string]struct {
		status     membership.NodeStatus
		sufficient bool
		want       membership.Node
	}{
		"same version":            {membership.NodeStatus{Addr: "a", Incarnation: 7, Version: 4, Sequence: 11, AppliedRevision: 2}, true, applied},
		"earlier sequence number": {membership.NodeStatus{Addr: "a", Incarnation: 7, Version: 4, Sequence: 9, AppliedRevision: 2}, true, known},
		"an earlier version":      {membership.NodeStatus{Addr: "a", Incarnation: 7, Version: 3, Sequence: 11, AppliedRevision: 2}, true, known},
		"a later version":         {membership.NodeStatus{Addr: "a", Incarnation: 7, Version: 5, Sequence: 11, AppliedRevision: 2}, false, known},
		"another incarnation":     {membership.NodeStatus{Addr: "a", Incarnation: 8, Version: 4, Sequence: 11, AppliedRevision: 2}, false, known},
		"another node":            {membership.NodeStatus{Addr: "b", Incarnation: 7, Version: 4, Sequence: 11, AppliedRevision: 2}, false, known},
	} {
		t.Run(name, func(t *testing.T) {
			log := NewEventLog(1, 0)
			log.ObserveNode(known, 0)
			if got := log.ObserveStatus(c.status, 0); got != c.sufficient {
				t.Errorf("got sufficient %v, want the opposite", got)
			}
			if d := cmp.Diff([]membership.Node{c.want}, log.Nodes()); d != "" {
				t.Error(d)
			}
		})
	}
}
