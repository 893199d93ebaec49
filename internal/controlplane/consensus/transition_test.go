package consensus

import (
	"testing"
	"time"
)

// The queue gives out one transition at a time, in order, and none while a write is under way;
// those that nobody waits for any more leave it.
func TestTransitionQueue(t *testing.T) {
	var q transitionQueue
	if _, ok := q.next(); ok {
		t.Error("an empty queue has a transition")
	}
	for _, deadline := range []time.Duration{1 * time.Second, 3 * time.Second, 2 * time.Second} {
		q.waiting = append(q.waiting, transition{deadline: deadline})
	}
	if expired := q.expire(1 * time.Second); len(expired) != 0 {
		t.Errorf("%d expired at the first deadline, not after it", len(expired))
	}
	if expired := q.expire(1*time.Second + 1); len(expired) != 1 || expired[0].deadline != 1*time.Second {
		t.Errorf("expired %v", expired)
	}
	q.saving = true
	if _, ok := q.next(); ok {
		t.Error("a transition while a write is under way")
	}
	q.saving = false
	for _, want := range []time.Duration{3 * time.Second, 2 * time.Second} {
		if got, ok := q.next(); !ok || got.deadline != want {
			t.Errorf("%v %v, want %v", got.deadline, ok, want)
		}
	}
}
