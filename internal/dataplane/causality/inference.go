package causality

import "time"

const (
	// rebalancePasses is how often shares are rebalanced at a time: they converge.
	rebalancePasses = 2
	// maxInferences bounds the inferences that are kept for a kind of call.
	maxInferences = 256
	// minCandidateShare is the share below which a candidate is not reported.
	minCandidateShare = 0.01
	// minExpected is the least number of calls that a request is expected to make, so that
	// no candidate is ever excluded by what was learned.
	minExpected = 0.02
)

// inference is a call that was linked by inference.
type inference struct {
	at         time.Time
	candidates []*OpenRequest
	// shares are the likelihoods of the candidates to be the cause; their sum is 1. They
	// change with each later call and with each end of a request.
	shares []float64
}

// newInference weighs the candidates of a call by how often, and how long after its start, a
// request of their route makes such a call, and by the calls that are likely theirs already
// by earlier inferences.
func (c *Correlator) newInference(kind callKind, candidates []*OpenRequest, earlier []*inference, now time.Time) *inference {
	inferred := &inference{at: now, candidates: candidates, shares: make([]float64, len(candidates))}
	attributed := attributedCalls(earlier)
	for i, request := range candidates {
		made := request.calls[kind.route] + attributed[request]
		outstanding := max(minExpected, 1-made/c.patterns.expectedCalls(request.Route, kind.route))
		rate := c.patterns.callRate(request.Route, kind.route)
		inferred.shares[i] = outstanding * rate * c.patterns.density(request.Route, kind.route, now.Sub(request.StartedAt))
	}
	inferred.normalize()
	return inferred
}

// rebalance changes the shares so that each call has one cause, and each candidate has no
// more calls than a request of its route usually makes; one that has ended has just as many.
func (c *Correlator) rebalance(kind callKind, inferences []*inference) {
	for range rebalancePasses {
		attributed := attributedCalls(inferences)
		for _, inferred := range inferences {
			for i, request := range inferred.candidates {
				outstanding := max(minExpected, c.patterns.expectedCalls(request.Route, kind.route)-request.calls[kind.route])
				if calls := attributed[request]; calls > outstanding || request.ended && calls > 0 {
					inferred.shares[i] *= outstanding / calls
				}
			}
			inferred.normalize()
		}
	}
}

// learn adds an inference whose candidates have all ended to what is known of calls.
func (c *Correlator) learn(kind callKind, inferred *inference) {
	for i, candidate := range inferred.candidates {
		share := inferred.shares[i]
		candidate.calls[kind.route] += share
		c.patterns.of(candidate.Route, kind.route).observe(inferred.at.Sub(candidate.StartedAt), share)
	}
}

// attributedCalls returns the sums of the shares that each candidate has in inferences.
func attributedCalls(inferences []*inference) map[*OpenRequest]float64 {
	calls := map[*OpenRequest]float64{}
	for _, inferred := range inferences {
		for i, request := range inferred.candidates {
			calls[request] += inferred.shares[i]
		}
	}
	return calls
}

// normalize scales the shares to a sum of 1.
func (f *inference) normalize() {
	sum := 0.0
	for _, share := range f.shares {
		sum += share
	}
	for i := range f.shares {
		if sum > 0 {
			f.shares[i] /= sum
		} else {
			f.shares[i] = 1 / float64(len(f.shares))
		}
	}
}

// best returns the index of the likeliest candidate, the first one among equals.
func (f *inference) best() int {
	best := 0
	for i, share := range f.shares {
		if share > f.shares[best] {
			best = i
		}
	}
	return best
}

// allEnded reports whether no candidate is open any more.
func (f *inference) allEnded() bool {
	for _, request := range f.candidates {
		if !request.ended {
			return false
		}
	}
	return true
}
