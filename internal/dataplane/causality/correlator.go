package causality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"curlewwalk/internal/trace"
)

const (
	rebalancePasses   = 2    // of balancing shares (ours)
	maxInferences     = 256  // guesses kept for one kind of call (ours)
	minCandidateShare = 0.01 // a candidate's share below this is not told (ours)
)

// Correlator is the decision value: which requests are open, and which ways are
// known to make which calls. One thread owns it.
type Correlator struct {
	openRequests map[trace.ID]*OpenRequest
	patterns     map[[2]string]*callPattern
	completed    map[string]float64          // requests ended, by way
	inferences   map[[2]string][]*inference  // by service and way of the call
	mixed        map[[2]string]*mixedTraffic // by service and way
}

// NewCorrelator makes an empty book.
func NewCorrelator() *Correlator {
	return &Correlator{openRequests: map[trace.ID]*OpenRequest{}, patterns: map[[2]string]*callPattern{}, completed: map[string]float64{}, inferences: map[[2]string][]*inference{}, mixed: map[[2]string]*mixedTraffic{}}
}

// Begin opens a request.
func (b *Correlator) Begin(request OpenRequest) {
	request.calls = map[string]float64{}
	b.openRequests[request.Span.ID] = &request
}

// End closes a request. Its end tells something of earlier guesses: calls
// that its way usually makes must be among them.
func (b *Correlator) End(id trace.ID) {
	request, ok := b.openRequests[id]
	if !ok {
		return
	}
	delete(b.openRequests, id)
	request.ended = true
	b.completed[request.Route]++
	for key, list := range b.inferences {
		if key[0] != request.Service {
			continue
		}
		b.rebalance(key, list)
		b.inferences[key] = slices.DeleteFunc(list, func(g *inference) bool {
			if !g.allEnded() {
				return false
			}
			for i, candidate := range g.candidates {
				candidate.calls[key[1]] += g.shares[i]
				b.pattern(candidate.Route, key[1]).observe(g.at.Sub(candidate.StartedAt), g.shares[i])
			}
			return true
		})
	}
}

// Link ties an outgoing call of a service. told is the span that the call
// itself carried, if any.
func (b *Correlator) Link(service, route string, carried trace.Span, now time.Time) Cause {
	if request, ok := b.openRequests[carried.ID]; ok && request.Service == service && request.Span.Trace == carried.Trace {
		return b.linkProven(request, route, now)
	}
	var candidates []*OpenRequest
	for _, request := range b.openRequests {
		if request.Service == service && now.Before(request.Deadline) {
			candidates = append(candidates, request)
		}
	}
	switch len(candidates) {
	case 0:
		return Cause{}
	case 1:
		return b.linkProven(candidates[0], route, now)
	}
	sortCandidates(candidates)
	return b.linkInferred([2]string{service, route}, candidates, now)
}

// sortCandidates sorts candidates, so that a run can be repeated.
func sortCandidates(candidates []*OpenRequest) {
	slices.SortFunc(candidates, func(x, y *OpenRequest) int {
		return cmp.Or(x.StartedAt.Compare(y.StartedAt), cmp.Compare(x.Span.ID, y.Span.ID))
	})
}

// linkProven ties a call to the one request that can have caused it.
func (b *Correlator) linkProven(request *OpenRequest, route string, now time.Time) Cause {
	request.calls[route]++
	b.pattern(request.Route, route).observe(now.Sub(request.StartedAt), 1)
	return Cause{Parent: request.Span, Link: trace.LinkProven, Candidates: []trace.ID{request.Span.ID}, Deadline: request.Deadline, Priority: request.Priority}
}

// linkInferred ties a call to the likeliest of several: by how often and when the way
// of each makes such a call, and by the calls that were likely its own already.
func (b *Correlator) linkInferred(key [2]string, candidates []*OpenRequest, now time.Time) Cause {
	inferred := &inference{at: now, candidates: candidates, shares: make([]float64, len(candidates))}
	list := b.inferences[key]
	earlier := attributedCalls(list)
	for i, request := range candidates {
		left := max(0.02, 1-(request.calls[key[1]]+earlier[request])/b.expectedCalls(request.Route, key[1]))
		inferred.shares[i] = left * b.callRate(request.Route, key[1]) * b.patterns[[2]string{request.Route, key[1]}].density(now.Sub(request.StartedAt))
	}
	inferred.normalize()
	if list = append(list, inferred); len(list) > maxInferences {
		list = slices.Delete(list, 0, 1)
	}
	b.inferences[key] = list
	b.rebalance(key, list)
	best := 0
	for i := range candidates {
		if inferred.shares[i] > inferred.shares[best] {
			best = i
		}
	}
	cause := Cause{Parent: candidates[best].Span, Link: trace.LinkInferred, Candidates: []trace.ID{candidates[best].Span.ID}, Deadline: candidates[best].Deadline, Priority: candidates[best].Priority}
	for i, request := range candidates {
		if i != best && inferred.shares[i] >= minCandidateShare {
			cause.Candidates = append(cause.Candidates, request.Span.ID)
			if request.Deadline.After(cause.Deadline) {
				cause.Deadline = request.Deadline
			}
			cause.Priority = min(cause.Priority, request.Priority)
		}
	}
	return cause
}

// attributedCalls sums, for each candidate, the shares that it has in guesses.
func attributedCalls(list []*inference) map[*OpenRequest]float64 {
	calls := map[*OpenRequest]float64{}
	for _, g := range list {
		for i, request := range g.candidates {
			calls[request] += g.shares[i]
		}
	}
	return calls
}

// rebalance moves shares until each call has one cause and each request has no
// more calls than its way usually makes; one that ended has just as many.
func (b *Correlator) rebalance(key [2]string, list []*inference) {
	for range rebalancePasses {
		sums := attributedCalls(list)
		for _, g := range list {
			for i, request := range g.candidates {
				room := max(0.02, b.expectedCalls(request.Route, key[1])-request.calls[key[1]])
				if m := sums[request]; m > room || request.ended && m > 0 {
					g.shares[i] *= room / m
				}
			}
			g.normalize()
		}
	}
}

// callRate is how many calls of a way a request of another makes on average.
func (b *Correlator) callRate(route, call string) float64 {
	calls := 0.0
	if p := b.patterns[[2]string{route, call}]; p != nil {
		calls = p.calls
	}
	return (calls + 1) / (b.completed[route] + 1)
}

// expectedCalls is rate in whole calls.
func (b *Correlator) expectedCalls(route, call string) float64 {
	r := b.callRate(route, call)
	if r < 0.5 {
		return max(r, 0.02)
	}
	return math.Round(r)
}

func (b *Correlator) pattern(route, call string) *callPattern {
	key := [2]string{route, call}
	p := b.patterns[key]
	if p == nil {
		p = new(callPattern)
		b.patterns[key] = p
	}
	return p
}
