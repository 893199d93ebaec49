package consensus

import "time"

// commitTracker records the last delivered committed state and the results of later quorum
// reads. A state is delivered when it is passed to Deps.OnCommit. The tracker has no side
// effects.
type commitTracker struct {
	// delivered is the revision of the newest delivered state.
	delivered uint64
	// observed is the newest position in the last quorum read.
	observed Position
	// uncommitted is set if the last two quorum reads returned the state at observed as the
	// newest one, and that state has not been delivered and is not known to be committed.
	uncommitted  bool
	confirmation readConfirmation
}

// readConfirmation is a quorum read and the revision that it returned. Once that revision has
// been delivered, it is confirmed that no state newer than the delivered one had been
// acknowledged at startedAt. The confirmation is pending until takeConfirmation has returned
// it.
type readConfirmation struct {
	startedAt time.Time
	revision  uint64
	pending   bool
}

// deliver records the delivery of a revision. It returns false if the revision is not newer
// than the last delivered one.
func (t *commitTracker) deliver(revision uint64) bool {
	if revision <= t.delivered {
		return false
	}
	t.delivered = revision
	return true
}

// observe records the result of a quorum read. It reports whether two successive reads returned
// the same newest state and that state has not been delivered. Only one read is kept for
// confirmation. A later read replaces the pending one unless its revision is newer, since a
// newer revision may take longer to be delivered.
func (t *commitTracker) observe(e readIndexEvent) (behind bool) {
	position := e.read.highest.Position
	if !t.confirmation.pending || e.startedAt.After(t.confirmation.startedAt) && position.Revision <= t.confirmation.revision {
		t.confirmation = readConfirmation{startedAt: e.startedAt, revision: position.Revision, pending: true}
	}
	behind = position.Revision > t.delivered && position == t.observed
	t.observed = position
	t.uncommitted = behind && !e.read.committed
	return behind
}

// takeConfirmation returns a time at which no state newer than the delivered one had been
// acknowledged. It returns each confirmation once, and false if there is none.
func (t *commitTracker) takeConfirmation() (at time.Time, ok bool) {
	if !t.confirmation.pending || t.delivered < t.confirmation.revision {
		return time.Time{}, false
	}
	t.confirmation.pending = false
	return t.confirmation.startedAt, true
}
