package retrybudget

import (
	"testing"
	"time"
)

// TestRollingWindow checks that requests older than the window are not counted, and that skipped
// buckets are cleared.
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
		t.Errorf("after 100 s: got %+v, want one request per second of the window, each 1 s late", got)
	}
	if got := window.total(129 * time.Second); got.Requests != 30 {
		t.Errorf("30 s later: got %+v, want 30 requests", got)
	}
	if got := window.total(500 * time.Second); got.Requests != 0 {
		t.Errorf("after the end of the window: got %+v, want no requests", got)
	}
	add(1000 * time.Second)
	if got := window.total(1000 * time.Second); got.Requests != 1 {
		t.Errorf("after a gap: got %+v, want 1 request", got)
	}
}

// TestLatencyBudgets checks that the remaining budget is the lateness allowed by the objective
// minus the observed lateness, that the allowed lateness falls with it, and that a node uses its
// own counts until it has received those of all nodes.
func TestLatencyBudgets(t *testing.T) {
	const target, deadline = 100 * time.Millisecond, 1100 * time.Millisecond
	const maxLateness = deadline - target
	budgets := NewLatencyBudgets()
	for range 100 {
		budgets.Observe("c", 50*time.Millisecond, target, deadline, true)
	}
	if got := budgets.Local()["c"].Remaining(maxLateness); got != 5*time.Second {
		t.Errorf("after 100 requests in time: got a remaining budget of %v, want 5s", got)
	}
	budgets.Observe("c", 300*time.Millisecond, target, deadline, true)
	budgets.Observe("c", time.Millisecond, target, deadline, false)
	if got := budgets.Local()["c"].Remaining(maxLateness); got != 5100*time.Millisecond-1200*time.Millisecond {
		t.Errorf("after a late and an unanswered request: got a remaining budget of %v, want 3.9s", got)
	}
	before := budgets.AllowedLateness("c", maxLateness)
	for range 10 {
		budgets.Observe("c", 0, target, deadline, false)
	}
	if after := budgets.AllowedLateness("c", maxLateness); before != 39*time.Millisecond || after != 0 {
		t.Errorf("got allowed lateness %v, then %v, want 39ms, then 0s", before, after)
	}
	if _, complete := budgets.Totals(); complete {
		t.Error("Totals reports local counts as complete before SetGlobal")
	}
	budgets.SetGlobal(Merge([]map[string]Counts{{"c": {Requests: 100}}, {"c": {Requests: 100, Lateness: time.Second}}}))
	if totals, complete := budgets.Totals(); !complete || totals["c"] != (Counts{Requests: 200, Lateness: time.Second}) {
		t.Errorf("got complete %v, totals %+v, want true, 200 requests with 1 s of lateness", complete, totals)
	}
}
