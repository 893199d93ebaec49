package consensus

import (
	"testing"
	"time"
)

// showing is a quorum read begun some seconds after a fixed moment, which showed a revision.
func showing(second int, revision uint64, committed bool) readIndexEvent {
	return readIndexEvent{
		startedAt: time.Unix(0, 0).Add(time.Duration(second) * time.Second),
		read:      quorumRead{highest: Reply{Position: Position{Term: 1, Revision: revision}}, committed: committed},
	}
}

// Each committed revision is delivered once, and none after a newer one.
func TestCommitTrackerDelivers(t *testing.T) {
	var tracker commitTracker
	for _, c := range []struct {
		revision uint64
		want     bool
	}{{3, true}, {3, false}, {2, false}, {5, true}, {4, false}} {
		if got := tracker.deliver(c.revision); got != c.want {
			t.Errorf("revision %d: %v", c.revision, got)
		}
	}
}

// A state that is shown twice and not delivered is behind; it is uncommitted if majorities were
// not known to hold it when it was shown last.
func TestCommitTrackerFindsStateThatIsNotDelivered(t *testing.T) {
	tracker := commitTracker{delivered: 3}
	for _, c := range []struct {
		name                string
		event               readIndexEvent
		behind, uncommitted bool
	}{
		{"delivered", showing(1, 3, true), false, false},
		{"delivered, shown again", showing(2, 3, true), false, false},
		{"newer, shown once", showing(3, 4, false), false, false},
		{"newer, shown twice", showing(4, 4, false), true, true},
		{"committed meanwhile", showing(5, 4, true), true, false},
		{"a newer one again", showing(6, 5, false), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if behind := tracker.observe(c.event); behind != c.behind || tracker.uncommitted != c.uncommitted {
				t.Errorf("behind %v, uncommitted %v", behind, tracker.uncommitted)
			}
		})
	}
}

// A quorum read is confirmed once what it showed is delivered: once, and as of its beginning. A
// later read that showed no more takes its place.
func TestCommitTrackerConfirmsReads(t *testing.T) {
	tracker := commitTracker{delivered: 3}
	if _, ok := tracker.takeConfirmation(); ok {
		t.Error("confirmed without a read")
	}
	tracker.observe(showing(1, 5, true))
	tracker.observe(showing(2, 5, true))
	tracker.observe(showing(3, 6, true))
	if _, ok := tracker.takeConfirmation(); ok {
		t.Error("confirmed before the revision was delivered")
	}
	tracker.deliver(5)
	if at, ok := tracker.takeConfirmation(); !ok || !at.Equal(showing(2, 5, true).startedAt) {
		t.Errorf("confirmed as of %v, %v", at, ok)
	}
	if _, ok := tracker.takeConfirmation(); ok {
		t.Error("confirmed twice")
	}
}
