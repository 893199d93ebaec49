package routing

import (
	"math"
	"time"
)

const (
	costBuckets = 64
	costStep    = 1.2
	costLow     = float64(500 * time.Microsecond)
	// costHalf is how long it takes until what was learned counts half.
	costHalf = 5 * time.Second // (ours)
	// enough is how much must have been learned to be believed.
	enough = 8 // (ours)
)

// Cost is what was learned of how long attempts of a way take, subtree and waiting
// included: a histogram that ages. The last bucket is for attempts that did not
// come back in time.
type Cost struct {
	mass [costBuckets + 1]float64
	sum  float64
	at   time.Duration
	// lent says that it is the way's at all backends, since too little is known of the one.
	lent bool
}

func costBucket(d time.Duration) int {
	if float64(d) <= costLow {
		return 0
	}
	return min(costBuckets-1, 1+int(math.Log(float64(d)/costLow)/math.Log(costStep)))
}

// costOf is about what the attempts of a bucket took.
func costOf(bucket int) time.Duration {
	return time.Duration(costLow * math.Pow(costStep, float64(bucket)-0.5))
}

// learn takes an attempt that took so long, or, missed, did not come back in time.
func (c *Cost) learn(took time.Duration, missed bool, now time.Duration) {
	c.age(now)
	i := costBuckets
	if !missed {
		i = costBucket(took)
	}
	c.mass[i]++
	c.sum++
}

func (c *Cost) age(now time.Duration) {
	if now-c.at < costHalf/50 {
		return
	}
	keep := math.Exp2(-float64(now-c.at) / float64(costHalf))
	for i := range c.mass {
		c.mass[i] *= keep
	}
	c.sum *= keep
	c.at = now
}

// Known tells whether enough was learned to be believed.
func (c *Cost) Known() bool { return c.sum >= enough }

// Within is the share of attempts that come back within d.
func (c *Cost) Within(d time.Duration) float64 {
	if c.sum == 0 {
		return 1
	}
	in := 0.0
	for i, m := range c.mass[:costBuckets] {
		if costOf(i) <= d {
			in += m
		}
	}
	return in / c.sum
}

// Quantile is how long a share of the attempts takes at most; ok is false if it is
// more than can be told.
func (c *Cost) Quantile(share float64) (d time.Duration, ok bool) {
	left := share * c.sum
	for i, m := range c.mass[:costBuckets] {
		if left -= m; left <= 0 && m > 0 {
			return costOf(i), true
		}
	}
	return costOf(costBuckets), false
}

// Lateness is how late an attempt that is sent now ends on average, given the time
// left to its aim and by how much it may be late at most.
func (c *Cost) Lateness(aim, room time.Duration) time.Duration {
	if c.sum == 0 {
		return 0
	}
	late := c.mass[costBuckets] * float64(room)
	for i, m := range c.mass[:costBuckets] {
		late += m * float64(min(room, max(0, costOf(i)-aim)))
	}
	return time.Duration(late / c.sum)
}
