package causality

import (
	"math"
	"time"
)

// The delays of calls are counted in buckets, each of which is bucketRatio times as wide as
// the one before. The first is up to lowestBucket.
const (
	bucketCount  = 56
	bucketRatio  = 1.25
	lowestBucket = 200 * time.Microsecond
)

const (
	// minPatternCalls is the number of calls below which a pattern is not used.
	minPatternCalls = 8
	// neighborWeight is the weight of the neighbors of a bucket, which smooths the counts.
	neighborWeight = 0.25
	// emptyBucketWeight is what an empty bucket counts, so that no delay is impossible.
	emptyBucketWeight = 0.02
)

// callPattern is what was learned of the calls by one route that requests of another make.
// Inferred calls count by their shares.
type callPattern struct {
	calls float64
	// delays counts the calls by their delay after the request's start.
	delays [bucketCount]float64
}

// bucket returns the bucket of a delay.
func bucket(delay time.Duration) int {
	if delay <= lowestBucket {
		return 0
	}
	return min(bucketCount-1, 1+int(math.Log(float64(delay)/float64(lowestBucket))/math.Log(bucketRatio)))
}

// observe adds a call, or the share of one.
func (p *callPattern) observe(delay time.Duration, share float64) {
	p.calls += share
	p.delays[bucket(delay)] += share
}

// density returns how likely a call is made after a delay, up to a constant factor. If too
// little was learned, or p is nil, it assumes the same likelihood for each bucket.
func (p *callPattern) density(delay time.Duration) float64 {
	width := float64(max(delay, lowestBucket))
	if p == nil || p.calls < minPatternCalls {
		return 1 / width
	}
	i := bucket(delay)
	mass := p.delays[i]
	for _, neighbor := range []int{i - 1, i + 1} {
		if neighbor >= 0 && neighbor < bucketCount {
			mass += p.delays[neighbor] * neighborWeight
		}
	}
	return (mass + emptyBucketWeight) / (p.calls + 1) / width
}

// patterns are the call patterns of all routes.
type patterns struct {
	byRoutes map[routePair]*callPattern
	// completed are the numbers of requests that have ended, by route.
	completed map[string]float64
}

// routePair is the route of requests, and the route of the calls that they make.
type routePair struct{ request, call string }

func newPatterns() patterns {
	return patterns{byRoutes: map[routePair]*callPattern{}, completed: map[string]float64{}}
}

// of returns the pattern of a pair of routes, and adds it if there is none.
func (p patterns) of(request, call string) *callPattern {
	pair := routePair{request, call}
	pattern := p.byRoutes[pair]
	if pattern == nil {
		pattern = new(callPattern)
		p.byRoutes[pair] = pattern
	}
	return pattern
}

// density is that of the pattern of a pair of routes.
func (p patterns) density(request, call string, delay time.Duration) float64 {
	return p.byRoutes[routePair{request, call}].density(delay)
}

// callRate returns how many calls by a route a request of another makes on average.
func (p patterns) callRate(request, call string) float64 {
	calls := 0.0
	if pattern := p.byRoutes[routePair{request, call}]; pattern != nil {
		calls = pattern.calls
	}
	return (calls + 1) / (p.completed[request] + 1)
}

// expectedCalls returns callRate as a whole number of calls, if it is not far below one.
func (p patterns) expectedCalls(request, call string) float64 {
	rate := p.callRate(request, call)
	if rate < 0.5 {
		return max(rate, minExpected)
	}
	return math.Round(rate)
}
