package causality

import (
	"math"
	"time"
)

const (
	buckets    = 56
	bucketStep = 1.25
	bucketLow  = float64(200 * time.Microsecond)
)

// habit is what was learned of one way making calls of another: how many, and
// how long after the request came. Inferred calls count by their shares.
type habit struct {
	calls float64
	after [buckets]float64
}

func bucket(d time.Duration) int {
	if float64(d) <= bucketLow {
		return 0
	}
	return min(buckets-1, 1+int(math.Log(float64(d)/bucketLow)/math.Log(bucketStep)))
}

func (h *habit) learn(d time.Duration, share float64) {
	h.calls += share
	h.after[bucket(d)] += share
}

// density is how likely the call comes just so long after the request; with
// nothing learned all moments are alike.
func (h *habit) density(d time.Duration) float64 {
	if h == nil || h.calls < 8 {
		return 1 / float64(max(d, time.Duration(bucketLow)))
	}
	i := bucket(d)
	mass := h.after[i]
	for _, j := range []int{i - 1, i + 1} {
		if j >= 0 && j < buckets {
			mass += h.after[j] / 4
		}
	}
	return (mass + 0.02) / (h.calls + 1) / float64(max(d, time.Duration(bucketLow)))
}
