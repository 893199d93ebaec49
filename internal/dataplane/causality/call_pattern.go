package causality

import (
	"math"
	"time"
)

// The delays of calls are counted in a histogram. Each bucket is bucketRatio times as wide as
// the previous one. The first bucket holds delays up to lowestBucket.
const (
	bucketCount  = 56
	bucketRatio  = 1.25
	lowestBucket = 200 * time.Microsecond
)

const (
	// minPatternCalls is the minimum number of observed calls for a pattern to be used.
	minPatternCalls = 8
	// neighborWeight is the weight of the two neighbors of a bucket. Including the neighbors
	// smooths the histogram.
	neighborWeight = 0.25
	// emptyBucketWeight is added to the count of every bucket, so that no delay has zero
	// likelihood.
	emptyBucketWeight = 0.02
)

// callPattern describes the calls by one route that are made by the requests of another
// route. An inferred call is counted by its share.
type callPattern struct {
	calls float64
	// delays counts the calls by their delay after the start of the request.
	delays [bucketCount]float64
}

// bucket returns the index of a delay's bucket.
func bucket(delay time.Duration) int {
	if delay <= lowestBucket {
		return 0
	}
	return min(bucketCount-1, 1+int(math.Log(float64(delay)/float64(lowestBucket))/math.Log(bucketRatio)))
}

// observe adds a call, or a share of a call.
func (p *callPattern) observe(delay time.Duration, share float64) {
	p.calls += share
	p.delays[bucket(delay)] += share
}

// density returns the likelihood density of a call at a delay, up to a constant factor. It
// divides the likelihood of a bucket by the delay, to which the bucket's width is roughly
// proportional. If p is nil or has fewer than minPatternCalls calls, density treats all
// buckets as equally likely.
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

// patterns holds the call patterns of all routes.
type patterns struct {
	byRoutes map[routePair]*callPattern
	// completed counts the requests that have ended, by route.
	completed map[string]float64
}

// routePair is the route of a request and the route of a call that the request makes.
type routePair struct{ request, call string }

func newPatterns() patterns {
	return patterns{byRoutes: map[routePair]*callPattern{}, completed: map[string]float64{}}
}

// getOrCreate returns the pattern of a pair of routes. It adds an empty pattern if there is
// none.
func (p patterns) getOrCreate(request, call string) *callPattern {
	pair := routePair{request, call}
	pattern := p.byRoutes[pair]
	if pattern == nil {
		pattern = new(callPattern)
		p.byRoutes[pair] = pattern
	}
	return pattern
}

// density returns the likelihood density of a call for a pair of routes; see
// callPattern.density.
func (p patterns) density(request, call string, delay time.Duration) float64 {
	return p.byRoutes[routePair{request, call}].density(delay)
}

// callRate estimates the average number of calls by one route that a request of another route
// makes.
func (p patterns) callRate(request, call string) float64 {
	calls := 0.0
	if pattern := p.byRoutes[routePair{request, call}]; pattern != nil {
		calls = pattern.calls
	}
	return (calls + 1) / (p.completed[request] + 1)
}

// expectedCalls returns callRate rounded to a whole number of calls. A rate below 0.5 is not
// rounded, but is raised to minExpected if it is lower.
func (p patterns) expectedCalls(request, call string) float64 {
	rate := p.callRate(request, call)
	if rate < 0.5 {
		return max(rate, minExpected)
	}
	return math.Round(rate)
}
