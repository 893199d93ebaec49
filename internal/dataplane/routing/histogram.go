package routing

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets; each but the first ends at bucketGrowth times the
	// end of the one before it.
	bucketCount  = 64
	bucketGrowth = 1.2
	// firstBucketBound is where the first bucket ends, in nanoseconds.
	firstBucketBound = float64(500 * time.Microsecond)
	// histogramHalfLife is the time after which an observation counts half.
	histogramHalfLife = 5 * time.Second // (ours)
	// decayInterval is the least time between two decays.
	decayInterval = histogramHalfLife / 50
	// minObservations is the least weight of observations that are relied on.
	minObservations = 8 // (ours)
)

// LatencyHistogram is what was learned of how long attempts of a route take, including their
// wait in the backend's queue and the calls that they cause: a histogram whose observations
// decay. The last bucket counts the attempts that were not answered in time.
type LatencyHistogram struct {
	weights [bucketCount + 1]float64
	total   float64
	// decayedAt is when the weights were last decayed, since the start of the LatencyTable.
	decayedAt time.Duration
	// routeWide says that it is that of the route at all backends, as too little is known of
	// the one that was asked for.
	routeWide bool
}

func bucketFor(d time.Duration) int {
	if float64(d) <= firstBucketBound {
		return 0
	}
	return min(bucketCount-1, 1+int(math.Log(float64(d)/firstBucketBound)/math.Log(bucketGrowth)))
}

// bucketDuration returns the duration that stands for the attempts of a bucket.
func bucketDuration(bucket int) time.Duration {
	return time.Duration(firstBucketBound * math.Pow(bucketGrowth, float64(bucket)-0.5))
}

// observe adds an attempt that took so long or, if missed, was not answered in time.
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

// Reliable reports whether there are enough observations to rely on.
func (h *LatencyHistogram) Reliable() bool { return h.total >= minObservations }

// ShareWithin returns the share of attempts that are answered within d; 1 if there are none.
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

// Quantile returns how long a share of the attempts takes at most; ok is false if it falls among
// those that were not answered in time.
func (h *LatencyHistogram) Quantile(share float64) (d time.Duration, ok bool) {
	remaining := share * h.total
	for i, weight := range h.weights[:bucketCount] {
		if remaining -= weight; remaining <= 0 && weight > 0 {
			return bucketDuration(i), true
		}
	}
	return bucketDuration(bucketCount), false
}

// ExpectedLateness returns how late an attempt that is sent now is answered on average, given the
// time left to its target time and the most that it may be late; zero if nothing was observed.
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
