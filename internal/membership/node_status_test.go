package membership

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"curlewwalk/internal/retrybudget"
)

// A node with its own newer status applied is the newer node; without a budget report it keeps the
// counts that it had, and an empty report takes them away.
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
	want.OpenRequests = map[string]int64{"north": 4} // zones without requests are left out
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
