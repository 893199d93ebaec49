package routing

import (
	"math"
	"time"
)

const (
	bucketCount      = 64
	bucketGrowth     = 1.2
	firstBucketBound = float64(500 * time.Microsecond)
	// histogramHalfLife is how long it takes until what was learned counts half.
	histogramHalfLife = 5 * time.Second // (ours)
	// minObservations is how much must have been learned to be believed.
	minObservations = 8 // (ours)
)

// LatencyHistogram is what was learned of how long attempts of a way take, subtree and waiting
// included: a histogram that ages. The last bucket is for attempts that did not
// come back in time.
type LatencyHistogram struct {
	weights   [bucketCount + 1]float64
	total     float64
	decayedAt time.Duration
	// routeWide says that it is the way's at all backends, since too little is known of the one.
	routeWide bool
}

func bucketFor(d time.Duration) int {
	if float64(d) <= firstBucketBound {
		return 0
	}
	return min(bucketCount-1, 1+int(math.Log(float64(d)/firstBucketBound)/math.Log(bucketGrowth)))
}

// bucketDuration is about what the attempts of a bucket took.
func bucketDuration(bucket int) time.Duration {
	return time.Duration(firstBucketBound * math.Pow(bucketGrowth, float64(bucket)-0.5))
}

// observe takes an attempt that took so long, or, missed, did not come back in time.
func (c *LatencyHistogram) observe(took time.Duration, missed bool, now time.Duration) {
	c.decay(now)
	i := bucketCount
	if !missed {
		i = bucketFor(took)
	}
	c.weights[i]++
	c.total++
}

func (c *LatencyHistogram) decay(now time.Duration) {
	if now-c.decayedAt < histogramHalfLife/50 {
		return
	}
	keep := math.Exp2(-float64(now-c.decayedAt) / float64(histogramHalfLife))
	for i := range c.weights {
		c.weights[i] *= keep
	}
	c.total *= keep
	c.decayedAt = now
}

// Reliable tells whether enough was learned to be believed.
func (c *LatencyHistogram) Reliable() bool { return c.total >= minObservations }

// ShareWithin is the share of attempts that come back within d.
func (c *LatencyHistogram) ShareWithin(d time.Duration) float64 {
	if c.total == 0 {
		return 1
	}
	in := 0.0
	for i, m := range c.weights[:bucketCount] {
		if bucketDuration(i) <= d {
			in += m
		}
	}
	return in / c.total
}

// Quantile is how long a share of the attempts takes at most; ok is false if it is
// more than can be told.
func (c *LatencyHistogram) Quantile(share float64) (d time.Duration, ok bool) {
	left := share * c.total
	for i, m := range c.weights[:bucketCount] {
		if left -= m; left <= 0 && m > 0 {
			return bucketDuration(i), true
		}
	}
	return bucketDuration(bucketCount), false
}

// ExpectedLateness is how late an attempt that is sent now ends on average, given the time
// left to its aim and by how much it may be late at most.
func (c *LatencyHistogram) ExpectedLateness(aim, room time.Duration) time.Duration {
	if c.total == 0 {
		return 0
	}
	late := c.weights[bucketCount] * float64(room)
	for i, m := range c.weights[:bucketCount] {
		late += m * float64(min(room, max(0, bucketDuration(i)-aim)))
	}
	return time.Duration(late / c.total)
}
