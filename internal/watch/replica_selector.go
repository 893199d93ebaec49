package watch

import (
	"cmp"
	"slices"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
)

const (
	// initialTimeout is how long a response is waited for at first. A replica may wait for
	// maxWait itself, so what is left is for the network and the work.
	initialTimeout = 900 * time.Millisecond // (ours)
	// maxTimeout bounds the time-out: no response may take longer, since a sidecar's lease
	// expires 4 s after the last one.
	maxTimeout = 3600 * time.Millisecond // (ours)
	// initialBackoff is the pause after a call without a response, or without any live replica;
	// it doubles each time, up to maxBackoff. A hundred watchers that ask ten times a second
	// would keep a replica that has just started from getting ready.
	initialBackoff = 100 * time.Millisecond // (ours)
	maxBackoff     = 400 * time.Millisecond // (ours)
	// avoidFailedFor is how long a replica that failed is chosen only after the others. Then it
	// is preferred again if it is in the watcher's own zone.
	avoidFailedFor = 10 * time.Second // (ours)
	// maxConfirmationAge is how old a replica's confirmation may be (see Updates) before another
	// one is asked: one that is partitioned from the others responds as ever, but gets no newer
	// control state.
	maxConfirmationAge = time.Second // (ours)
)

// replicaSelector decides which replica a watcher asks, how long it waits for the response, and
// how long it pauses after a failure. It does no I/O and is not safe for concurrent use.
// (DESIGN 8.2)
type replicaSelector struct {
	own, zone string
	// failedAt is when a replica last failed, by address.
	failedAt map[string]time.Time
	// current is the replica that was asked last; answered says whether it responded, even if
	// its confirmation was too old.
	current  membership.Replica
	answered bool
	timeout  time.Duration
	backoff  time.Duration
}

func newReplicaSelector(own, zone string) *replicaSelector {
	return &replicaSelector{own: own, zone: zone, failedAt: map[string]time.Time{}, timeout: initialTimeout}
}

// choose returns the replica to ask: those that failed lately come last, of the others those of
// the own zone first, and of equals the first by rendezvous hashing. ok is false if none is live.
func (s *replicaSelector) choose(live []membership.Replica, now time.Time) (chosen membership.Replica, ok bool) {
	if len(live) == 0 {
		return membership.Replica{}, false
	}
	for addr, at := range s.failedAt {
		if now.Sub(at) >= avoidFailedFor {
			delete(s.failedAt, addr)
		}
	}
	ranked := rendezvous.Rank(s.own, live, func(replica membership.Replica) string { return replica.Addr })
	slices.SortStableFunc(ranked, func(a, b membership.Replica) int {
		return cmp.Or(s.failedAt[a.Addr].Compare(s.failedAt[b.Addr]), cmp.Compare(s.zoneDistance(a), s.zoneDistance(b)))
	})
	first := ranked[0]
	failedLately := now.Sub(s.failedAt[first.Addr]) < maxConfirmationAge
	if s.answered && failedLately && slices.ContainsFunc(live, s.isCurrent) {
		first = s.current // the others are no better
	}
	s.current = first
	return first, true
}

// isCurrent reports whether a replica is the one that was asked last, in the same incarnation.
func (s *replicaSelector) isCurrent(replica membership.Replica) bool {
	return replica.Addr == s.current.Addr && replica.Incarnation == s.current.Incarnation
}

// zoneDistance is 0 for a replica of the own zone and 1 for others.
func (s *replicaSelector) zoneDistance(replica membership.Replica) int {
	if replica.Zone == s.zone {
		return 0
	}
	return 1
}

// recordResponse records that the current replica responded, and how old its confirmation was.
func (s *replicaSelector) recordResponse(age time.Duration, now time.Time) {
	s.answered, s.timeout, s.backoff = true, initialTimeout, 0
	if age > maxConfirmationAge {
		s.failedAt[s.current.Addr] = now
	}
}

// recordFailure records that the current replica did not respond. If it timed out, the next
// time-out is twice as long: over a slow link or from a starved process the same response would
// otherwise be asked for, and dropped, again and again.
func (s *replicaSelector) recordFailure(timedOut bool, now time.Time) {
	s.answered = false
	s.failedAt[s.current.Addr] = now
	s.growBackoff()
	if timedOut {
		s.timeout = min(2*s.timeout, maxTimeout)
	}
}

// growBackoff doubles the pause before the next request, within its bounds.
func (s *replicaSelector) growBackoff() {
	s.backoff = max(initialBackoff, min(2*s.backoff, maxBackoff))
}
