package causality

import "time"

const (
	// rebalancePasses is the number of passes in one rebalancing. The shares converge over
	// the passes.
	rebalancePasses = 2
	// maxInferences is the maximum number of inferences kept for one kind of call.
	maxInferences = 256
	// minCandidateShare is the share below which a candidate is not reported.
	minCandidateShare = 0.01
	// minExpected is the lower bound of the number of calls that a request is expected to
	// make. It is also the lower bound of the number, and of the fraction, of these calls that
	// are still outstanding. Learned patterns therefore never exclude a candidate entirely.
	minExpected = 0.02
)

// inference is a call that was linked by inference.
type inference struct {
	at         time.Time
	candidates []*OpenRequest
	// shares holds the likelihood of each candidate to be the cause. The shares add up to 1.
	// They change with each later call and whenever a request ends.
	shares []float64
}

// newInference computes the initial share of each candidate of a call. A share depends on how
// often requests of the candidate's route make such a call, on the likely delay of the call
// after the start of the request, and on the calls that earlier links have already attributed
// to the candidate.
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

// rebalance adjusts the shares so that the shares of each call add up to 1, and so that no
// candidate is attributed more calls than a request of its route usually makes. A candidate
// that has ended is attributed exactly that number.
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

// learn adds an inference whose candidates have all ended to the call patterns.
func (c *Correlator) learn(kind callKind, inferred *inference) {
	for i, candidate := range inferred.candidates {
		share := inferred.shares[i]
		candidate.calls[kind.route] += share
		c.patterns.getOrCreate(candidate.Route, kind.route).observe(inferred.at.Sub(candidate.StartedAt), share)
	}
}

// attributedCalls returns the sum of each candidate's shares over the inferences.
func attributedCalls(inferences []*inference) map[*OpenRequest]float64 {
	calls := map[*OpenRequest]float64{}
	for _, inferred := range inferences {
		for i, request := range inferred.candidates {
			calls[request] += inferred.shares[i]
		}
	}
	return calls
}

// normalize scales the shares so that they add up to 1.
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

// best returns the index of the most likely candidate. Of equally likely candidates, it
// returns the first.
func (f *inference) best() int {
	best := 0
	for i, share := range f.shares {
		if share > f.shares[best] {
			best = i
		}
	}
	return best
}

// allEnded reports whether all candidates have ended.
func (f *inference) allEnded() bool {
	for _, request := range f.candidates {
		if !request.ended {
			return false
		}
	}
	return true
}
