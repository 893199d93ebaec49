package consensus

import (
	"testing"
	"time"
)

// quorumReadAt returns the event of a quorum read that began at a second after the Unix epoch
// and returned a revision.
func quorumReadAt(second int, revision uint64, committed bool) readIndexEvent {
	return readIndexEvent{
		startedAt: time.Unix(0, 0).Add(time.Duration(second) * time.Second),
		read:      quorumRead{highest: Reply{Position: Position{Term: 1, Revision: revision}}, committed: committed},
	}
}

// Each committed revision is delivered at most once, and never after a newer one.
func TestCommitTrackerDelivers(t *testing.T) {
	var tracker commitTracker
	for _, c := range []struct {
		revision uint64
		want     bool
	}{{3, true}, {3, false}, {2, false}, {5, true}, {4, false}} {
		if got := tracker.deliver(c.revision); got != c.want {
			t.Errorf("deliver(%d) = %v, want the opposite", c.revision, got)
		}
	}
}

// A state that two successive quorum reads return and that has not been delivered is behind. It
// is uncommitted if the second read did not find it committed.
func TestCommitTrackerDetectsUndeliveredState(t *testing.T) {
	tracker := commitTracker{delivered: 3}
	for _, c := range []struct {
		name                string
		event               readIndexEvent
		behind, uncommitted bool
	}{
		{"delivered", quorumReadAt(1, 3, true), false, false},
		{"delivered, read again", quorumReadAt(2, 3, true), false, false},
		{"newer, read once", quorumReadAt(3, 4, false), false, false},
		{"newer, read twice", quorumReadAt(4, 4, false), true, true},
		{"committed meanwhile", quorumReadAt(5, 4, true), true, false},
		{"another newer one", quorumReadAt(6, 5, false), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if behind := tracker.observe(c.event); behind != c.behind || tracker.uncommitted != c.uncommitted {
				t.Errorf("got behind %v and uncommitted %v, want the values of the case", behind, tracker.uncommitted)
			}
		})
	}
}

// A quorum read is confirmed once its revision is delivered. The confirmation has the start
// time of the read and is returned once. A later read replaces a pending one unless its
// revision is newer.
func TestCommitTrackerConfirmsReads(t *testing.T) {
	tracker := commitTracker{delivered: 3}
	if _, ok := tracker.takeConfirmation(); ok {
		t.Error("confirmed without a read")
	}
	tracker.observe(quorumReadAt(1, 5, true))
	tracker.observe(quorumReadAt(2, 5, true))
	tracker.observe(quorumReadAt(3, 6, true))
	if _, ok := tracker.takeConfirmation(); ok {
		t.Error("confirmed before the revision was delivered")
	}
	tracker.deliver(5)
	if at, ok := tracker.takeConfirmation(); !ok || !at.Equal(quorumReadAt(2, 5, true).startedAt) {
		t.Errorf("takeConfirmation() = %v, %v, want the start of the second read", at, ok)
	}
	if _, ok := tracker.takeConfirmation(); ok {
		t.Error("confirmed twice")
	}
}
