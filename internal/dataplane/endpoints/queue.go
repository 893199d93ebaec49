package endpoints

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// maxWaitersPerSlot is how many may wait for each place at a backend.
const maxWaitersPerSlot = 4 // (ours)

// QueueRequest is what an attempt asks of a line.
type QueueRequest struct {
	Priority int
	Route    string
	// Remaining is the time left in which the answer is in time.
	Remaining time.Duration
	// LateRemaining is the time left in which a late answer is still worth something; zero:
	// it is worth nothing.
	LateRemaining time.Duration
}

// QueueDecision is what a line decides on a bid.
type QueueDecision int

// The attempt runs now, waits for its turn, or is refused.
const (
	Start QueueDecision = iota
	Wait
	Reject
)

// AdmissionQueue is who runs at a backend and who waits: a decision value. Higher ranks
// go before lower ones, and within a rank short runs, then who has to begin first; nobody waits who could
// no longer be served in time. Those that can only be late, if that is worth something
// to them, stand aside and get what the others leave. (DESIGN 15.2)
type AdmissionQueue struct {
	running      int64
	waiting      []waiter
	overdue      []waiter
	lastID       uint64
	meanDuration time.Duration // of a run
	durations    map[string]durationEstimate
}

// durationEstimate is what runs of a way take: on average, and by how much they stray from it.
type durationEstimate struct{ mean, deviation time.Duration }

// deviationMargin is how many strays beyond the average a run is given room for. Under overload
// all wait until they just can, so this decides how many then end in time.
const deviationMargin = 1.5 // (ours)

// shortestSizeClass is the shortest run that is told from shorter ones. (ours)
const shortestSizeClass = 4 * time.Millisecond

// required is the time that all but few of the runs take.
func (c durationEstimate) required() time.Duration {
	return c.mean + time.Duration(deviationMargin*float64(c.deviation))
}

// observe takes a run.
func (c durationEstimate) observe(took time.Duration) durationEstimate {
	if c.mean == 0 {
		return durationEstimate{mean: took}
	}
	return durationEstimate{mean: movingAverage(c.mean, took), deviation: c.deviation + ((took-c.mean).Abs()-c.deviation)/8}
}

type waiter struct {
	id        uint64
	priority  int
	sizeClass int           // of its run, each twice the one before
	startBy   time.Duration // when it can't be served in time any more
	// lateStartBy is when it is not worth serving any more. Nobody stands aside for more than
	// half of the time left: it had better be told, and come again.
	lateStartBy time.Duration
}

// Transition is what a change of the line means for those who waited: some run now,
// some are refused.
type Transition struct {
	Started, Rejected []uint64
}

// Enqueue takes a bid under the limit of this moment. id names the place of one who
// waits; back is when a refused one should come again.
func (q *AdmissionQueue) Enqueue(request QueueRequest, limit int64, now time.Duration) (decision QueueDecision, id uint64, retryAfter time.Duration, transition Transition) {
	if q.running < limit && len(q.waiting) == 0 {
		q.running++
		return Start, 0, 0, transition
	}
	expected := q.durations[request.Route].required()
	w := waiter{id: q.lastID + 1, priority: request.Priority, sizeClass: bits.Len64(uint64(expected / shortestSizeClass)), startBy: now + request.Remaining - expected, lateStartBy: now + min(request.LateRemaining-expected, request.LateRemaining/2)}
	position, _ := slices.BinarySearchFunc(q.waiting, w, waiter.compare)
	switch {
	case request.Remaining >= q.expectedWait(position, limit)+expected && position < maxWaitersPerSlot*int(limit):
		q.waiting = slices.Insert(q.waiting, position, w)
	case request.LateRemaining <= 0 || !q.enqueueOverdue(w, limit, now):
		return Reject, 0, q.expectedWait(len(q.waiting), limit), transition
	}
	q.lastID++
	transition = q.advance(limit, now)
	return Wait, q.lastID, 0, transition
}

// compare orders places: by rank, then shorter runs first, since of them more are in time
// and their callers often hold a place elsewhere meanwhile; then by who has to begin
// first, then by arrival.
func (w waiter) compare(other waiter) int {
	if c := cmp.Or(cmp.Compare(w.priority, other.priority), cmp.Compare(w.sizeClass, other.sizeClass), cmp.Compare(w.startBy, other.startBy)); c != 0 {
		return c
	}
	return -1
}

// enqueueOverdue has a place stand aside, if it is worth it and there is room.
func (q *AdmissionQueue) enqueueOverdue(w waiter, limit int64, now time.Duration) bool {
	position, _ := slices.BinarySearchFunc(q.overdue, w, waiter.compare)
	if now+q.expectedWait(len(q.waiting)+position, limit) > w.lateStartBy || len(q.overdue) >= maxWaitersPerSlot*int(limit) {
		return false
	}
	q.overdue = slices.Insert(q.overdue, position, w)
	return true
}

// expectedWait is how long the place at an index waits, as far as is known.
func (q *AdmissionQueue) expectedWait(position int, limit int64) time.Duration {
	return time.Duration(int64(q.meanDuration) * int64(position+1) / limit)
}

// Finish takes that a run has ended, and how long it took.
func (q *AdmissionQueue) Finish(route string, took time.Duration, limit int64, now time.Duration) Transition {
	q.running--
	if q.durations == nil {
		q.durations = map[string]durationEstimate{}
	}
	q.meanDuration = movingAverage(q.meanDuration, took)
	q.durations[route] = q.durations[route].observe(took)
	return q.advance(limit, now)
}

// Cancel takes that a run was stopped, of which nothing is learned.
func (q *AdmissionQueue) Cancel(limit int64, now time.Duration) Transition {
	q.running--
	return q.advance(limit, now)
}

func movingAverage(old, took time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + (took-old)/8
}

// Remove takes one who no longer waits; false if it does not wait any more.
func (q *AdmissionQueue) Remove(id uint64) bool {
	n := len(q.waiting) + len(q.overdue)
	own := func(w waiter) bool { return w.id == id }
	q.waiting, q.overdue = slices.DeleteFunc(q.waiting, own), slices.DeleteFunc(q.overdue, own)
	return len(q.waiting)+len(q.overdue) < n
}

// Len is how many run and wait.
func (q *AdmissionQueue) Len() int64 { return q.running + int64(len(q.waiting)+len(q.overdue)) }

// advance lets run whom there is room for, and refuses whom time or depth has
// run out for.
func (q *AdmissionQueue) advance(limit int64, now time.Duration) (transition Transition) {
	late := func(w waiter) {
		if !q.enqueueOverdue(w, limit, now) {
			transition.Rejected = append(transition.Rejected, w.id)
		}
	}
	for len(q.waiting) > 0 && q.running < limit {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now > w.startBy {
			late(w)
			continue
		}
		q.running++
		transition.Started = append(transition.Started, w.id)
	}
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if len(kept) >= maxWaitersPerSlot*int(limit) || now+q.expectedWait(len(kept), limit) > w.startBy {
			late(w)
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
	for len(q.overdue) > 0 && q.running < limit {
		w := q.overdue[0]
		q.overdue = q.overdue[1:]
		if now > w.lateStartBy {
			transition.Rejected = append(transition.Rejected, w.id)
			continue
		}
		q.running++
		transition.Started = append(transition.Started, w.id)
	}
	return transition
}
