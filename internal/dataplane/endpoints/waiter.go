package endpoints

import (
	"cmp"
	"math/bits"
	"time"
)

const (
	// deviationMargin is the number of mean deviations that are added to the mean duration to give
	// the time reserved for a request. Under overload, every request waits until it can only just
	// be completed in time, so that this margin determines how many requests are completed in time.
	deviationMargin = 1.5
	// firstSizeClassBound is the upper bound of the durations in the first size class. The bound of
	// each further class is twice that of the previous class.
	firstSizeClassBound = 4 * time.Millisecond
	// averagingFactor is the reciprocal of the weight of a new duration in a moving average.
	averagingFactor = 8
)

// waiter is a request in a queue. Its times are readings of the queue's clock.
type waiter struct {
	id       uint64
	priority int
	// sizeClass increases with the expected duration.
	sizeClass int
	// startBy is the latest start time at which the request can be completed by its target.
	startBy time.Duration
	// lateStartBy is the latest start time of an overdue request. At that time, at least half of
	// the period in which a late response is useful remains, so that a rejected request can be sent
	// elsewhere.
	lateStartBy time.Duration
}

// newWaiter returns the waiter of a request with an expected duration.
func newWaiter(id uint64, request QueueRequest, expected, now time.Duration) waiter {
	return waiter{
		id:          id,
		priority:    request.Priority,
		sizeClass:   bits.Len64(uint64(expected / firstSizeClassBound)),
		startBy:     now + request.Remaining - expected,
		lateStartBy: now + min(request.LateRemaining-expected, request.LateRemaining/2),
	}
}

// compare orders waiters by priority, then by size class, then by latest start time, then by
// arrival. Smaller size classes come first, since more short requests are completed in time and
// their callers often occupy another slot meanwhile. compare never returns 0: a new waiter is
// placed after its equals.
func (w waiter) compare(other waiter) int {
	order := cmp.Or(cmp.Compare(w.priority, other.priority), cmp.Compare(w.sizeClass, other.sizeClass), cmp.Compare(w.startBy, other.startBy))
	if order != 0 {
		return order
	}
	return -1
}

// durationEstimate is the estimated duration of the requests of a route.
type durationEstimate struct {
	mean time.Duration
	// deviation is the moving average of the absolute deviations from the mean.
	deviation time.Duration
}

// required returns the time within which nearly all requests are completed.
func (e durationEstimate) required() time.Duration {
	return e.mean + time.Duration(deviationMargin*float64(e.deviation))
}

// observe returns the estimate updated with another duration.
func (e durationEstimate) observe(took time.Duration) durationEstimate {
	if e.mean == 0 {
		return durationEstimate{mean: took}
	}
	deviation := (took - e.mean).Abs()
	return durationEstimate{mean: movingAverage(e.mean, took), deviation: e.deviation + (deviation-e.deviation)/averagingFactor}
}

// movingAverage returns the exponentially weighted average updated with another duration. An
// average of zero means that there is no earlier duration.
func movingAverage(average, took time.Duration) time.Duration {
	if average == 0 {
		return took
	}
	return average + (took-average)/averagingFactor
}
