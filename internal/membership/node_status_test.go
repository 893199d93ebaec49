package membership

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"curlewwalk/internal/retrybudget"
)

// TestNodeStatus checks that applying a node's newer status to an older copy of the node yields the
// newer node. Without a budget report the copy keeps its counts; an empty report removes them.
func TestNodeStatus(t *testing.T) {
	old := Node{
		Addr: "a", Incarnation: 7, Version: 3, Backends: []Backend{{Instance: "i"}},
		Sequence: 1, Refutation: 1, Budgets: map[string]retrybudget.Counts{"c": {Requests: 1}},
	}
	next := old
	next.Sequence, next.AppliedRevision, next.Refutation = 2, 9, 2
	next.Suspects = []Suspicion{{Addr: "b", Incarnation: 1}}
	next.OpenRequests = map[string]int64{"north": 4, "south": 0}
	next.Budgets = map[string]retrybudget.Counts{"c": {Requests: 5}}

	want := next
	want.OpenRequests = map[string]int64{"north": 4} // zones without open requests are omitted
	if d := cmp.Diff(want, old.WithStatus(next.Status(true))); d != "" {
		t.Error(d)
	}
	want.Budgets = old.Budgets
	if d := cmp.Diff(want, old.WithStatus(next.Status(false))); d != "" {
		t.Error(d)
	}
	next.Budgets, want.Budgets = nil, nil
	if d := cmp.Diff(want, old.WithStatus(next.Status(true)), cmpopts.EquateEmpty()); d != "" {
		t.Error(d)
	}
}
