package endpoints

import (
	"slices"
	"time"
)

// maxWaitersPerSlot bounds the length of each of a queue's two lists, per slot of the backend.
const maxWaitersPerSlot = 4

// QueueRequest holds the properties of a request that determine its position in the queue.
type QueueRequest struct {
	// Priority is the priority of the contract. The lowest number is served first.
	Priority int
	Route    string
	// Remaining is the time left for the response: until the latency target, or a little longer if
	// the contract's latency budget allows that.
	Remaining time.Duration
	// LateRemaining is the time within which a response after the target is still useful. It is
	// zero if a late response is of no use.
	LateRemaining time.Duration
}

// QueueDecision is the decision of the queue on a new request.
type QueueDecision int

// The decisions: the request runs immediately, waits for a slot, or is rejected.
const (
	Start QueueDecision = iota
	Wait
	Reject
)

// Enqueued is the result of Enqueue.
type Enqueued struct {
	Decision QueueDecision
	// ID identifies the waiter in later transitions. It is set if Decision is Wait.
	ID uint64
	// RetryAfter is the time in which the backlog is expected to clear. It is set if Decision is
	// Reject.
	RetryAfter time.Duration
	Transition Transition
}

// Transition holds the IDs of the waiters that a change of the queue starts and rejects.
type Transition struct {
	Started, Rejected []uint64
}

// AdmissionQueue bounds the number of requests that run at a backend, and orders the requests that
// wait. It is not safe for concurrent use. The caller passes the time, from a monotonic clock of
// any origin.
//
// The limit is the number of slots of the backend. It is passed with each call, since it changes.
// Requests with a higher priority go first. Within a priority, shorter requests go first, and then
// requests that must start earlier. A request that can no longer be completed by its target becomes
// overdue if a late response to it is still useful, and is rejected otherwise. Overdue requests get
// the slots that no other request waits for. (DESIGN 15.2)
type AdmissionQueue struct {
	running int64
	// waiting and overdue are sorted by waiter.compare.
	waiting []waiter
	overdue []waiter
	lastID  uint64
	// meanDuration is the average duration of all requests. durations holds the estimates by route.
	meanDuration time.Duration
	durations    map[string]durationEstimate
}

// Len returns the number of requests that are running or waiting.
func (q *AdmissionQueue) Len() int64 { return q.running + int64(len(q.waiting)+len(q.overdue)) }

// Enqueue starts, queues or rejects a request.
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

// Finish ends a running request of a route, and updates the estimates with its duration.
func (q *AdmissionQueue) Finish(route string, took time.Duration, limit int64, now time.Duration) Transition {
	q.running--
	if q.durations == nil {
		q.durations = map[string]durationEstimate{}
	}
	q.meanDuration = movingAverage(q.meanDuration, took)
	q.durations[route] = q.durations[route].observe(took)
	return q.advance(limit, now)
}

// Cancel ends a running request that was stopped early. The estimates do not change.
func (q *AdmissionQueue) Cancel(limit int64, now time.Duration) Transition {
	q.running--
	return q.advance(limit, now)
}

// Remove removes a waiter, and reports whether the waiter was still in the queue.
func (q *AdmissionQueue) Remove(id uint64) bool {
	before := q.Len()
	hasID := func(w waiter) bool { return w.id == id }
	q.waiting = slices.DeleteFunc(q.waiting, hasID)
	q.overdue = slices.DeleteFunc(q.overdue, hasID)
	return q.Len() < before
}

// expectedWait returns the expected wait of the waiter at a position.
func (q *AdmissionQueue) expectedWait(position int, limit int64) time.Duration {
	return time.Duration(int64(q.meanDuration) * int64(position+1) / limit)
}

// enqueueOverdue adds a waiter to the overdue list. It returns false if the list is full, or if the
// waiter is expected to start too late for a useful response.
func (q *AdmissionQueue) enqueueOverdue(w waiter, limit int64, now time.Duration) bool {
	position, _ := slices.BinarySearchFunc(q.overdue, w, waiter.compare)
	if now+q.expectedWait(len(q.waiting)+position, limit) > w.lateStartBy || len(q.overdue) >= maxWaitersPerSlot*int(limit) {
		return false
	}
	q.overdue = slices.Insert(q.overdue, position, w)
	return true
}

// advance gives the free slots to waiters, and rejects the waiters that can no longer be served.
func (q *AdmissionQueue) advance(limit int64, now time.Duration) (transition Transition) {
	q.startWaiting(&transition, limit, now)
	q.demoteLate(&transition, limit, now)
	q.startOverdue(&transition, limit, now)
	return transition
}

// startWaiting gives the free slots to waiters that can be completed by their targets. It demotes
// waiters whose latest start time has passed.
func (q *AdmissionQueue) startWaiting(transition *Transition, limit int64, now time.Duration) {
	for len(q.waiting) > 0 && q.running < limit {
		first := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now > first.startBy {
			q.demote(first, transition, limit, now)
			continue
		}
		q.start(first, transition)
	}
}

// demoteLate demotes the waiters that are not expected to start in time, and the waiters beyond the
// bound on the list, which falls with the limit.
func (q *AdmissionQueue) demoteLate(transition *Transition, limit int64, now time.Duration) {
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if len(kept) >= maxWaitersPerSlot*int(limit) || now+q.expectedWait(len(kept), limit) > w.startBy {
			q.demote(w, transition, limit, now)
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
}

// startOverdue gives the slots that remain free to overdue waiters.
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

// start gives a slot to a waiter that has been taken from the queue.
func (q *AdmissionQueue) start(w waiter, transition *Transition) {
	q.running++
	transition.Started = append(transition.Started, w.id)
}

// demote moves a waiter to the overdue list, or rejects it.
func (q *AdmissionQueue) demote(w waiter, transition *Transition, limit int64, now time.Duration) {
	if !q.enqueueOverdue(w, limit, now) {
		transition.Rejected = append(transition.Rejected, w.id)
	}
}
