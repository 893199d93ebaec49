package causality

import (
	"math"
	"time"
)

const (
	bucketCount  = 56
	bucketRatio  = 1.25
	lowestBucket = float64(200 * time.Microsecond)
)

// callPattern is what was learned of one way making calls of another: how many, and
// how long after the request came. Inferred calls count by their shares.
type callPattern struct {
	calls  float64
	delays [bucketCount]float64
}

func bucket(d time.Duration) int {
	if float64(d) <= lowestBucket {
		return 0
	}
	return min(bucketCount-1, 1+int(math.Log(float64(d)/lowestBucket)/math.Log(bucketRatio)))
}

func (p *callPattern) observe(d time.Duration, share float64) {
	p.calls += share
	p.delays[bucket(d)] += share
}

// density is how likely the call comes just so long after the request; with
// nothing learned all moments are alike.
func (p *callPattern) density(d time.Duration) float64 {
	if p == nil || p.calls < 8 {
		return 1 / float64(max(d, time.Duration(lowestBucket)))
	}
	i := bucket(d)
	mass := p.delays[i]
	for _, j := range []int{i - 1, i + 1} {
		if j >= 0 && j < bucketCount {
			mass += p.delays[j] / 4
		}
	}
	return (mass + 0.02) / (p.calls + 1) / float64(max(d, time.Duration(lowestBucket)))
}
