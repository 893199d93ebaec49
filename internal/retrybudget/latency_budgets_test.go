package retrybudget

import (
	"testing"
	"time"
)

// TestRollingWindow checks that requests leave the window when they are older than it, and
// that gaps are empty.
func TestRollingWindow(t *testing.T) {
	var window rollingWindow
	add := func(at time.Duration) {
		bucket := window.advance(at)
		*bucket = bucket.Add(Counts{Requests: 1, Lateness: time.Second})
	}
	for second := range 100 {
		add(time.Duration(second) * time.Second)
	}
	if got := window.total(99 * time.Second); got.Requests != bucketCount || got.Lateness != bucketCount*time.Second {
		t.Errorf("after 100 s: %+v", got)
	}
	if got := window.total(129 * time.Second); got.Requests != 30 {
		t.Errorf("30 s later: %+v", got)
	}
	if got := window.total(500 * time.Second); got.Requests != 0 {
		t.Errorf("much later: %+v", got)
	}
	add(1000 * time.Second)
	if got := window.total(1000 * time.Second); got.Requests != 1 {
		t.Errorf("after a gap: %+v", got)
	}
}

// TestLatencyBudgets checks that a budget is what the objective allows less what was late,
// that the allowed lateness falls with it, and that a node uses its own counts until it
// knows those of all nodes.
func TestLatencyBudgets(t *testing.T) {
	const target, deadline = 100 * time.Millisecond, 1100 * time.Millisecond
	const maxLateness = deadline - target
	budgets := NewLatencyBudgets()
	for range 100 {
		budgets.Observe("c", 50*time.Millisecond, target, deadline, true)
	}
	if got := budgets.Local()["c"].Remaining(maxLateness); got != 5*time.Second {
		t.Errorf("100 requests in time leave %v", got)
	}
	budgets.Observe("c", 300*time.Millisecond, target, deadline, true)
	budgets.Observe("c", time.Millisecond, target, deadline, false)
	if got := budgets.Local()["c"].Remaining(maxLateness); got != 5100*time.Millisecond-1200*time.Millisecond {
		t.Errorf("a late request and one without an answer leave %v", got)
	}
	before := budgets.AllowedLateness("c", maxLateness)
	for range 10 {
		budgets.Observe("c", 0, target, deadline, false)
	}
	if after := budgets.AllowedLateness("c", maxLateness); before != 39*time.Millisecond || after != 0 {
		t.Errorf("allowed lateness %v, then %v", before, after)
	}
	if _, complete := budgets.Totals(); complete {
		t.Error("the own counts were taken for those of all nodes")
	}
	budgets.SetGlobal(Merge([]map[string]Counts{{"c": {Requests: 100}}, {"c": {Requests: 100, Lateness: time.Second}}}))
	if totals, complete := budgets.Totals(); !complete || totals["c"] != (Counts{Requests: 200, Lateness: time.Second}) {
		t.Errorf("complete %v, totals %+v", complete, totals)
	}
}
