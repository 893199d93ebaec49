package retrybudget

import (
	"testing"
	"time"
)

// The window rolls: what is older than it is gone, and gaps are empty.
func TestRollingWindow(t *testing.T) {
	var w rollingWindow
	add := func(at time.Duration) {
		s := w.advance(at)
		s.Requests, s.Lateness = s.Requests+1, s.Lateness+time.Second
	}
	for s := range 100 {
		add(time.Duration(s) * time.Second)
	}
	if got := w.total(99 * time.Second); got.Requests != bucketCount || got.Lateness != bucketCount*time.Second {
		t.Errorf("after 100 s: %+v", got)
	}
	if got := w.total(129 * time.Second); got.Requests != 30 {
		t.Errorf("30 s later: %+v", got)
	}
	if got := w.total(500 * time.Second); got.Requests != 0 {
		t.Errorf("much later: %+v", got)
	}
	add(1000 * time.Second)
	if got := w.total(1000 * time.Second); got.Requests != 1 {
		t.Errorf("after a gap: %+v", got)
	}
}

// The budget is what the promise allows less what was late; patience shrinks
// with it, and without news of others a node uses its own share.
func TestLatencyBudgets(t *testing.T) {
	const aim, deadline = 100 * time.Millisecond, 1100 * time.Millisecond
	b := NewLatencyBudgets()
	for range 100 {
		b.Observe("c", 50*time.Millisecond, aim, deadline, true)
	}
	if got := b.Local()["c"].Remaining(deadline - aim); got != 5*time.Second {
		t.Errorf("100 in time leave %v", got)
	}
	b.Observe("c", 300*time.Millisecond, aim, deadline, true)
	b.Observe("c", time.Millisecond, aim, deadline, false)
	if got := b.Local()["c"].Remaining(deadline - aim); got != 5100*time.Millisecond-1200*time.Millisecond {
		t.Errorf("one late and one refused leave %v", got)
	}
	before := b.AllowedLateness("c", deadline-aim)
	for range 10 {
		b.Observe("c", 0, aim, deadline, false)
	}
	if after := b.AllowedLateness("c", deadline-aim); before != 39*time.Millisecond || after != 0 {
		t.Errorf("patience %v, then %v", before, after)
	}
	if _, whole := b.Totals(); whole {
		t.Error("the own share was taken for the whole")
	}
	b.SetGlobal(Merge([]map[string]Counts{{"c": {Requests: 100}}, {"c": {Requests: 100, Lateness: time.Second}}}))
	if sums, whole := b.Totals(); !whole || sums["c"] != (Counts{Requests: 200, Lateness: time.Second}) {
		t.Errorf("%v %+v", whole, sums)
	}
}
