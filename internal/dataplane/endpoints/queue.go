package endpoints

import (
	"slices"
	"time"
)

// maxWaitersPerSlot bounds the length of each of a queue's two lists, for each slot of the
// backend.
const maxWaitersPerSlot = 4 // (ours)

// QueueRequest is what a request tells the queue about itself.
type QueueRequest struct {
	// Priority is that of the contract; the lowest number comes first.
	Priority int
	Route    string
	// Remaining is the time left for the response: until the latency target, or a little longer
	// where the contract's latency budget allows that.
	Remaining time.Duration
	// LateRemaining is the time for which a response past the target is still worth
	// something; zero if it is worth nothing.
	LateRemaining time.Duration
}

// QueueDecision says what becomes of a request.
type QueueDecision int

// The decisions: the request runs at once, waits for a slot, or is rejected.
const (
	Start QueueDecision = iota
	Wait
	Reject
)

// Enqueued is the result of a request to a queue.
type Enqueued struct {
	Decision QueueDecision
	// ID names the waiter in later transitions, for Wait.
	ID uint64
	// RetryAfter is the time that the backlog takes, for Reject.
	RetryAfter time.Duration
	Transition Transition
}

// Transition is what a change of the queue decides for waiters, by their IDs: some get a
// slot, and some are rejected.
type Transition struct {
	Started, Rejected []uint64
}

// AdmissionQueue bounds the requests that run at a backend and orders those that wait. It
// is not safe for concurrent use, and takes the time from its caller: a monotonic clock of
// any origin.
//
// The limit, the number of the backend's slots, comes with each call, since it changes.
// Higher priorities go first, within a priority shorter requests, and then those that have
// to start first; a request that can no longer be completed by its target does not wait.
// If a late response is worth something to it, it is overdue instead: overdue requests get
// the slots that no other request waits for. (DESIGN 15.2)
type AdmissionQueue struct {
	running int64
	// waiting and overdue are sorted by waiter.compare.
	waiting []waiter
	overdue []waiter
	lastID  uint64
	// meanDuration is that of all requests, durations those of the routes.
	meanDuration time.Duration
	durations    map[string]durationEstimate
}

// Len returns the number of requests that run or wait.
func (q *AdmissionQueue) Len() int64 { return q.running + int64(len(q.waiting)+len(q.overdue)) }

// Enqueue decides on a request.
func (q *AdmissionQueue) Enqueue(request QueueRequest, limit int64, now time.Duration) Enqueued {
	if q.running < limit && len(q.waiting) == 0 {
		q.running++
		return Enqueued{Decision: Start}
	}
	expected := q.durations[request.Route].required()
	w := newWaiter(q.lastID+1, request, expected, now)
	position, _ := slices.BinarySearchFunc(q.waiting, w, waiter.compare)
	switch {
	case request.Remaining >= q.expectedWait(position, limit)+expected && position < maxWaitersPerSlot*int(limit):
		q.waiting = slices.Insert(q.waiting, position, w)
	case request.LateRemaining <= 0 || !q.enqueueOverdue(w, limit, now):
		return Enqueued{Decision: Reject, RetryAfter: q.expectedWait(len(q.waiting), limit)}
	}
	q.lastID++
	return Enqueued{Decision: Wait, ID: w.id, Transition: q.advance(limit, now)}
}

// Finish ends a running request of a route, and learns how long it took.
func (q *AdmissionQueue) Finish(route string, took time.Duration, limit int64, now time.Duration) Transition {
	q.running--
	if q.durations == nil {
		q.durations = map[string]durationEstimate{}
	}
	q.meanDuration = movingAverage(q.meanDuration, took)
	q.durations[route] = q.durations[route].observe(took)
	return q.advance(limit, now)
}

// Cancel ends a running request that was stopped before its end; nothing is learned of it.
func (q *AdmissionQueue) Cancel(limit int64, now time.Duration) Transition {
	q.running--
	return q.advance(limit, now)
}

// Remove removes a waiter, and reports whether it was still waiting.
func (q *AdmissionQueue) Remove(id uint64) bool {
	before := q.Len()
	hasID := func(w waiter) bool { return w.id == id }
	q.waiting = slices.DeleteFunc(q.waiting, hasID)
	q.overdue = slices.DeleteFunc(q.overdue, hasID)
	return q.Len() < before
}

// expectedWait is how long the waiter at a position is expected to wait.
func (q *AdmissionQueue) expectedWait(position int, limit int64) time.Duration {
	return time.Duration(int64(q.meanDuration) * int64(position+1) / limit)
}

// enqueueOverdue makes a waiter overdue. It reports false if there is no room, or if it is
// expected to start too late to be worth anything.
func (q *AdmissionQueue) enqueueOverdue(w waiter, limit int64, now time.Duration) bool {
	position, _ := slices.BinarySearchFunc(q.overdue, w, waiter.compare)
	if now+q.expectedWait(len(q.waiting)+position, limit) > w.lateStartBy || len(q.overdue) >= maxWaitersPerSlot*int(limit) {
		return false
	}
	q.overdue = slices.Insert(q.overdue, position, w)
	return true
}

// advance gives the free slots to waiters, and rejects those that can't be served any more.
func (q *AdmissionQueue) advance(limit int64, now time.Duration) (transition Transition) {
	q.startWaiting(&transition, limit, now)
	q.dropHopeless(&transition, limit, now)
	q.startOverdue(&transition, limit, now)
	return transition
}

// startWaiting gives the free slots to waiters in time.
func (q *AdmissionQueue) startWaiting(transition *Transition, limit int64, now time.Duration) {
	for len(q.waiting) > 0 && q.running < limit {
		first := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now > first.startBy {
			q.postpone(first, transition, limit, now)
			continue
		}
		q.start(first, transition)
	}
}

// dropHopeless takes out the waiters that are not expected to start in time, and those
// beyond the bound, which falls with the limit.
func (q *AdmissionQueue) dropHopeless(transition *Transition, limit int64, now time.Duration) {
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if len(kept) >= maxWaitersPerSlot*int(limit) || now+q.expectedWait(len(kept), limit) > w.startBy {
			q.postpone(w, transition, limit, now)
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
}

// startOverdue gives the slots that nobody in time waits for to overdue waiters.
func (q *AdmissionQueue) startOverdue(transition *Transition, limit int64, now time.Duration) {
	for len(q.overdue) > 0 && q.running < limit {
		first := q.overdue[0]
		q.overdue = q.overdue[1:]
		if now > first.lateStartBy {
			transition.Rejected = append(transition.Rejected, first.id)
			continue
		}
		q.start(first, transition)
	}
}

// start gives a slot to a waiter that is no longer in the queue.
func (q *AdmissionQueue) start(w waiter, transition *Transition) {
	q.running++
	transition.Started = append(transition.Started, w.id)
}

// postpone makes a waiter overdue, or rejects it.
func (q *AdmissionQueue) postpone(w waiter, transition *Transition, limit int64, now time.Duration) {
	if !q.enqueueOverdue(w, limit, now) {
		transition.Rejected = append(transition.Rejected, w.id)
	}
}
