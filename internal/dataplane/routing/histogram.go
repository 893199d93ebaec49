package routing

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets for attempts that were answered. The upper bound of each
	// bucket but the first is bucketGrowth times that of the previous bucket.
	bucketCount  = 64
	bucketGrowth = 1.2
	// firstBucketBound is the upper bound of the first bucket in nanoseconds.
	firstBucketBound = float64(500 * time.Microsecond)
	// histogramHalfLife is the time after which the weight of an observation has halved.
	histogramHalfLife = 5 * time.Second
	// decayInterval is the minimum time between two decays.
	decayInterval = histogramHalfLife / 50
	// minObservations is the minimum total weight of a reliable histogram.
	minObservations = 8
)

// LatencyHistogram is a histogram, with exponential decay, of the durations of attempts of a route.
// A duration includes the wait in the backend's queue and the calls that the attempt causes. One
// more bucket, at index bucketCount, counts the attempts that missed the deadline of their request
// ("not answered in time").
type LatencyHistogram struct {
	weights [bucketCount + 1]float64
	total   float64
	// decayedAt is the time of the last decay, measured from the start of the LatencyTable.
	decayedAt time.Duration
	// routeWide means that the histogram covers the route at all backends, because there are too
	// few observations of the requested backend.
	routeWide bool
}

func bucketFor(d time.Duration) int {
	if float64(d) <= firstBucketBound {
		return 0
	}
	return min(bucketCount-1, 1+int(math.Log(float64(d)/firstBucketBound)/math.Log(bucketGrowth)))
}

// bucketDuration returns the duration that represents the attempts in a bucket.
func bucketDuration(bucket int) time.Duration {
	return time.Duration(firstBucketBound * math.Pow(bucketGrowth, float64(bucket)-0.5))
}

// observe adds an attempt with the duration took or, if missed is set, an attempt that was not
// answered in time.
func (h *LatencyHistogram) observe(took time.Duration, missed bool, now time.Duration) {
	h.decay(now)
	bucket := bucketCount
	if !missed {
		bucket = bucketFor(took)
	}
	h.weights[bucket]++
	h.total++
}

func (h *LatencyHistogram) decay(now time.Duration) {
	if now-h.decayedAt < decayInterval {
		return
	}
	factor := math.Exp2(-float64(now-h.decayedAt) / float64(histogramHalfLife))
	for i := range h.weights {
		h.weights[i] *= factor
	}
	h.total *= factor
	h.decayedAt = now
}

// Reliable reports whether there are enough observations for an estimate.
func (h *LatencyHistogram) Reliable() bool { return h.total >= minObservations }

// ShareWithin returns the fraction of attempts that are answered within d. It returns 1 if there
// are no observations.
func (h *LatencyHistogram) ShareWithin(d time.Duration) float64 {
	if h.total == 0 {
		return 1
	}
	within := 0.0
	for i, weight := range h.weights[:bucketCount] {
		if bucketDuration(i) <= d {
			within += weight
		}
	}
	return within / h.total
}

// Quantile returns the duration within which the given share of the attempts is answered. If the
// quantile falls among the attempts that were not answered in time, or if there are no observations,
// ok is false and d is above the duration of every bucket.
func (h *LatencyHistogram) Quantile(share float64) (d time.Duration, ok bool) {
	remaining := share * h.total
	for i, weight := range h.weights[:bucketCount] {
		if remaining -= weight; remaining <= 0 && weight > 0 {
			return bucketDuration(i), true
		}
	}
	return bucketDuration(bucketCount), false
}

// ExpectedLateness returns the mean lateness of an attempt that is sent now, given the time
// remaining to its target time and its maximum lateness. It returns zero if there are no
// observations.
func (h *LatencyHistogram) ExpectedLateness(timeToTarget, maxLateness time.Duration) time.Duration {
	if h.total == 0 {
		return 0
	}
	lateness := h.weights[bucketCount] * float64(maxLateness)
	for i, weight := range h.weights[:bucketCount] {
		lateness += weight * float64(min(maxLateness, max(0, bucketDuration(i)-timeToTarget)))
	}
	return time.Duration(lateness / h.total)
}
