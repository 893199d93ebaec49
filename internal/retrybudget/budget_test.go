package retrybudget

import (
	"testing"
	"time"
)

// The window rolls: what is older than it is gone, and gaps are empty.
func TestWindow(t *testing.T) {
	var w window
	add := func(at time.Duration) {
		s := w.turn(at)
		s.N, s.Late = s.N+1, s.Late+time.Second
	}
	for s := range 100 {
		add(time.Duration(s) * time.Second)
	}
	if got := w.sum(99 * time.Second); got.N != slices || got.Late != slices*time.Second {
		t.Errorf("after 100 s: %+v", got)
	}
	if got := w.sum(129 * time.Second); got.N != 30 {
		t.Errorf("30 s later: %+v", got)
	}
	if got := w.sum(500 * time.Second); got.N != 0 {
		t.Errorf("much later: %+v", got)
	}
	add(1000 * time.Second)
	if got := w.sum(1000 * time.Second); got.N != 1 {
		t.Errorf("after a gap: %+v", got)
	}
}

// The budget is what the promise allows less what was late; patience shrinks
// with it, and without news of others a node uses its own share.
func TestBudget(t *testing.T) {
	const aim, deadline = 100 * time.Millisecond, 1100 * time.Millisecond
	b := NewBudgets()
	for range 100 {
		b.Ended("c", 50*time.Millisecond, aim, deadline, true)
	}
	if got := b.Own()["c"].Left(deadline - aim); got != 5*time.Second {
		t.Errorf("100 in time leave %v", got)
	}
	b.Ended("c", 300*time.Millisecond, aim, deadline, true)
	b.Ended("c", time.Millisecond, aim, deadline, false)
	if got := b.Own()["c"].Left(deadline - aim); got != 5100*time.Millisecond-1200*time.Millisecond {
		t.Errorf("one late and one refused leave %v", got)
	}
	before := b.Patience("c", deadline-aim)
	for range 10 {
		b.Ended("c", 0, aim, deadline, false)
	}
	if after := b.Patience("c", deadline-aim); before != 39*time.Millisecond || after != 0 {
		t.Errorf("patience %v, then %v", before, after)
	}
	if _, whole := b.Sums(); whole {
		t.Error("the own share was taken for the whole")
	}
	b.Hear(Merge([]map[string]Tally{{"c": {N: 100}}, {"c": {N: 100, Late: time.Second}}}))
	if sums, whole := b.Sums(); !whole || sums["c"] != (Tally{N: 200, Late: time.Second}) {
		t.Errorf("%v %+v", whole, sums)
	}
}
