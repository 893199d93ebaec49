package consensus

import (
	"testing"
	"time"
)

// The queue returns one transition at a time, in order, and none while a write is in progress.
// Transitions whose deadline has passed are removed.
func TestTransitionQueue(t *testing.T) {
	var q transitionQueue
	if _, ok := q.next(); ok {
		t.Error("next() returned a transition from an empty queue")
	}
	for _, deadline := range []time.Duration{1 * time.Second, 3 * time.Second, 2 * time.Second} {
		q.waiting = append(q.waiting, transition{deadline: deadline})
	}
	if expired := q.expire(1 * time.Second); len(expired) != 0 {
		t.Errorf("%d transitions expired at the first deadline, want none before it has passed", len(expired))
	}
	if expired := q.expire(1*time.Second + 1); len(expired) != 1 || expired[0].deadline != 1*time.Second {
		t.Errorf("expired transitions = %v, want the one with the first deadline", expired)
	}
	q.saving = true
	if _, ok := q.next(); ok {
		t.Error("next() returned a transition while a write is in progress")
	}
	q.saving = false
	for _, want := range []time.Duration{3 * time.Second, 2 * time.Second} {
		if got, ok := q.next(); !ok || got.deadline != want {
			t.Errorf("next() returned deadline %v, %v, want %v", got.deadline, ok, want)
		}
	}
}
