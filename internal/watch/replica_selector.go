package watch

import (
	"cmp"
	"slices"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
)

const (
	// initialTimeout is how long a follower waits for an answer at first. A core may hold a
	// Follow for holdFor, so what is left is for the way and the work. (ours)
	initialTimeout = 900 * time.Millisecond
	// maxTimeout bounds it: longer than this no answer may take, and a claim lapses
	// after 4 s without one. (ours)
	maxTimeout = 3600 * time.Millisecond
	// initialBackoff is between a call that was not answered, or a look for a live core, and
	// the next; each further one is twice as long, up to mostPause: a hundred followers
	// that ask ten times a second keep a core that has just started from starting. (ours)
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// avoidFailedFor is how long a core that failed comes after the others; then it may be
	// followed again, as one of the follower's own zone must be. (ours)
	avoidFailedFor = 10 * time.Second
	// maxConfirmationAge is how old a core's certainty may be before another is followed: one that
	// is cut off from the others answers as ever, but hears of no newer configuration.
	// (ours)
	maxConfirmationAge = time.Second
)

// replicaSelector decides which core a follower asks, and how long it waits for the answer. It is
// a decision value that one thread owns. (DESIGN 8.2)
type replicaSelector struct {
	own, zone string
	failedAt  map[string]time.Time // cores that failed lately
	current   membership.Replica   // asked last
	answered  bool                 // it answered, if only that it is not sure
	timeout   time.Duration
	backoff   time.Duration // grows while nothing is answered
}

func newReplicaSelector(own, zone string) *replicaSelector {
	return &replicaSelector{own: own, zone: zone, failedAt: map[string]time.Time{}, timeout: initialTimeout}
}

// choose chooses among the live cores: those that failed lately come last, those of the own
// zone first, and of equals the one that ranks first by rendezvous hashing. False if
// there is none.
func (selector *replicaSelector) choose(live []membership.Replica, now time.Time) (membership.Replica, bool) {
	if len(live) == 0 {
		return membership.Replica{}, false
	}
	for addr, at := range selector.failedAt {
		if now.Sub(at) >= avoidFailedFor {
			delete(selector.failedAt, addr)
		}
	}
	ranked := rendezvous.Rank(selector.own, live, func(replica membership.Replica) string { return replica.Addr })
	slices.SortStableFunc(ranked, func(a, b membership.Replica) int {
		return cmp.Or(selector.failedAt[a.Addr].Compare(selector.failedAt[b.Addr]), cmp.Compare(selector.zoneDistance(a), selector.zoneDistance(b)))
	})
	first := ranked[0]
	lately := now.Sub(selector.failedAt[first.Addr]) < maxConfirmationAge
	if selector.answered && lately && slices.ContainsFunc(live, selector.isCurrent) {
		first = selector.current // the others are no better
	}
	selector.current = first
	return first, true
}

// isCurrent tells whether a core is the one that was asked last, in the same life.
func (selector *replicaSelector) isCurrent(replica membership.Replica) bool {
	return replica.Addr == selector.current.Addr && replica.Incarnation == selector.current.Incarnation
}

// zoneDistance is 1 for a core of another zone.
func (selector *replicaSelector) zoneDistance(replica membership.Replica) int {
	if replica.Zone == selector.zone {
		return 0
	}
	return 1
}

// recordResponse notes an answer, and how long ago its core was last sure of it.
func (selector *replicaSelector) recordResponse(age time.Duration, now time.Time) {
	selector.answered, selector.timeout, selector.backoff = true, initialTimeout, 0
	if age > maxConfirmationAge {
		selector.failedAt[selector.current.Addr] = now
	}
}

// recordFailure notes that no answer came. If it was waited for, the next is waited for twice as
// long: on a narrow link or a late processor the same answer would be asked for, and
// thrown away, again and again.
func (selector *replicaSelector) recordFailure(timedOut bool, now time.Time) {
	selector.answered = false
	selector.failedAt[selector.current.Addr] = now
	selector.growBackoff()
	if timedOut {
		selector.timeout = min(2*selector.timeout, maxTimeout)
	}
}

// growBackoff notes that there was no answer or nobody to ask: the pause grows.
func (selector *replicaSelector) growBackoff() {
	selector.backoff = max(initialBackoff, min(2*selector.backoff, maxBackoff))
}
