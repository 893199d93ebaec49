package consensus

import "time"

// commitTracker knows which committed state was delivered last, and what majorities showed
// since. It is pure.
type commitTracker struct {
	// delivered is the revision of the newest committed state that was delivered.
	delivered uint64
	// observed is the newest position that a majority showed last.
	observed Position
	// uncommitted is whether that is still not delivered and not known to be committed.
	uncommitted  bool
	confirmation readConfirmation
}

// readConfirmation is a quorum read that waits for its revision to be delivered.
type readConfirmation struct {
	startedAt time.Time
	revision  uint64
	pending   bool
}

// deliver notes that a revision is delivered; false if it is not newer than the last one.
func (t *commitTracker) deliver(revision uint64) bool {
	if revision <= t.delivered {
		return false
	}
	t.delivered = revision
	return true
}

// observe takes what a majority showed; it reports whether the newest state was shown twice and
// is still not delivered. Of two reads that wait for confirmation the later one counts, unless it
// waits for a newer revision: that may take longer to be delivered.
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

// takeConfirmation is the moment as of which no newer state than the delivered one had been
// acknowledged; false if there is none that was not taken before.
func (t *commitTracker) takeConfirmation() (at time.Time, ok bool) {
	if !t.confirmation.pending || t.delivered < t.confirmation.revision {
		return time.Time{}, false
	}
	t.confirmation.pending = false
	return t.confirmation.startedAt, true
}
