package watch

import (
	"cmp"
	"slices"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
)

const (
	// initialTimeout is how long a watcher initially waits for a response. The replica itself may
	// wait for maxWait; the rest is for the network and the processing.
	initialTimeout = 900 * time.Millisecond
	// maxTimeout is the upper limit of the timeout. No response may take longer, since a sidecar's
	// lease lasts 4 s. The lease counts from a moment before the last response (see Updates.Age).
	maxTimeout = 3600 * time.Millisecond
	// initialBackoff is the pause after a call without a response, or if no replica is live. The
	// pause doubles with each such failure, up to maxBackoff, and is reset by a response. Without
	// the pause, a hundred watchers that send ten requests per second would keep a replica that has
	// just started from becoming ready. The watcher also pauses for initialBackoff after a response
	// with a confirmation older than maxConfirmationAge.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// avoidFailedFor is how long a failed replica is chosen only after the others. After that time
	// it is preferred again if it is in the watcher's own zone.
	avoidFailedFor = 10 * time.Second
	// maxConfirmationAge is how old a replica's confirmation may be (see Updates) before another
	// replica is chosen. A replica that is partitioned from the others still responds but receives
	// no newer control state.
	maxConfirmationAge = time.Second
)

// replicaSelector determines which replica a watcher sends its requests to, how long it waits for
// the response, and how long it pauses after a failure. It does no I/O and is not safe for
// concurrent use. (DESIGN 8.2)
type replicaSelector struct {
	own, zone string
	// failedAt holds when each replica last failed, by address.
	failedAt map[string]time.Time
	// current is the replica of the last request. answered reports whether it responded, even if
	// its confirmation was older than maxConfirmationAge, which also counts as a failure in
	// failedAt.
	current  membership.Replica
	answered bool
	timeout  time.Duration
	backoff  time.Duration
}

func newReplicaSelector(own, zone string) *replicaSelector {
	return &replicaSelector{own: own, zone: zone, failedAt: map[string]time.Time{}, timeout: initialTimeout}
}

// choose returns the replica for the next request. Replicas that failed within avoidFailedFor rank
// last, in the order of their failures. Among the others, those in the watcher's zone rank first.
// Rendezvous hashing decides between equal replicas. If every live replica failed within
// maxConfirmationAge, choose keeps the current one if that is live and responded to its last
// request. ok is false if no replica is live.
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
	failedRecently := now.Sub(s.failedAt[first.Addr]) < maxConfirmationAge
	if s.answered && failedRecently && slices.ContainsFunc(live, s.isCurrent) {
		first = s.current // every live replica failed within maxConfirmationAge
	}
	s.current = first
	return first, true
}

// isCurrent reports whether a replica is the one of the last request, in the same incarnation.
func (s *replicaSelector) isCurrent(replica membership.Replica) bool {
	return replica.Addr == s.current.Addr && replica.Incarnation == s.current.Incarnation
}

// zoneDistance returns 0 for a replica in the watcher's zone and 1 for any other replica.
func (s *replicaSelector) zoneDistance(replica membership.Replica) int {
	if replica.Zone == s.zone {
		return 0
	}
	return 1
}

// recordResponse records that the current replica responded, and the age of its confirmation.
func (s *replicaSelector) recordResponse(age time.Duration, now time.Time) {
	s.answered, s.timeout, s.backoff = true, initialTimeout, 0
	if age > maxConfirmationAge {
		s.failedAt[s.current.Addr] = now
	}
}

// recordFailure records that the current replica did not respond. If the request timed out, the
// timeout of the next one is doubled, up to maxTimeout. With a constant timeout, a watcher on a
// slow link or in a process starved of CPU time would request and discard the same response again
// and again.
func (s *replicaSelector) recordFailure(timedOut bool, now time.Time) {
	s.answered = false
	s.failedAt[s.current.Addr] = now
	s.growBackoff()
	if timedOut {
		s.timeout = min(2*s.timeout, maxTimeout)
	}
}

// growBackoff doubles the pause before the next request, within its limits.
func (s *replicaSelector) growBackoff() {
	s.backoff = max(initialBackoff, min(2*s.backoff, maxBackoff))
}
