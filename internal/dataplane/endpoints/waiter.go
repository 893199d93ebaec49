package endpoints

import (
	"cmp"
	"math/bits"
	"time"
)

const (
	// deviationMargin is how many mean deviations beyond its mean duration a request is
	// given. Under overload all requests wait until they just can be completed in time,
	// so that this decides how many of them are.
	deviationMargin = 1.5 // (ours)
	// shortestSizeClass is the duration up to which requests are of the first size class.
	// Each further class is of twice the duration.
	shortestSizeClass = 4 * time.Millisecond // (ours)
	// averagingFactor is the inverse of the weight that a new duration has in a moving
	// average.
	averagingFactor = 8
)

// waiter is a request in a queue. Times are those of the queue's clock.
type waiter struct {
	id       uint64
	priority int
	// sizeClass grows with the expected duration.
	sizeClass int
	// startBy is the last moment to start at and be completed by the target.
	startBy time.Duration
	// lateStartBy is the last moment to start at if it is overdue. It leaves half of the
	// time in which a late response is worth something, so that a rejected request can
	// be sent elsewhere.
	lateStartBy time.Duration
}

// newWaiter returns the waiter of a request that is expected to take a duration.
func newWaiter(id uint64, request QueueRequest, expected, now time.Duration) waiter {
	return waiter{
		id:          id,
		priority:    request.Priority,
		sizeClass:   bits.Len64(uint64(expected / shortestSizeClass)),
		startBy:     now + request.Remaining - expected,
		lateStartBy: now + min(request.LateRemaining-expected, request.LateRemaining/2),
	}
}

// compare orders waiters by priority, then by size class, since more of the short requests
// are completed in time, and their callers often occupy another slot meanwhile; then by who
// has to start first, then by arrival. It never returns 0: a new waiter goes behind its
// equals.
func (w waiter) compare(other waiter) int {
	order := cmp.Or(cmp.Compare(w.priority, other.priority), cmp.Compare(w.sizeClass, other.sizeClass), cmp.Compare(w.startBy, other.startBy))
	if order != 0 {
		return order
	}
	return -1
}

// durationEstimate is what was learned of the durations of a route's requests.
type durationEstimate struct {
	mean time.Duration
	// deviation is the moving average of the absolute deviations from the mean.
	deviation time.Duration
}

// required is the time in which nearly all requests are completed.
func (e durationEstimate) required() time.Duration {
	return e.mean + time.Duration(deviationMargin*float64(e.deviation))
}

// observe returns the estimate with another duration.
func (e durationEstimate) observe(took time.Duration) durationEstimate {
	if e.mean == 0 {
		return durationEstimate{mean: took}
	}
	deviation := (took - e.mean).Abs()
	return durationEstimate{mean: movingAverage(e.mean, took), deviation: e.deviation + (deviation-e.deviation)/averagingFactor}
}

// movingAverage returns an exponentially weighted average with another duration; a zero
// average is none.
func movingAverage(average, took time.Duration) time.Duration {
	if average == 0 {
		return took
	}
	return average + (took-average)/averagingFactor
}
