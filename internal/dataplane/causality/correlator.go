package causality

import (
	"cmp"
	"slices"
	"time"

	"curlewwalk/internal/trace"
)

// Correlator links calls to open requests. It is not safe for concurrent use.
type Correlator struct {
	openRequests map[trace.ID]*OpenRequest
	patterns     patterns
	// inferences holds the calls that were linked by inference and have at least one open
	// candidate, oldest first. Beyond maxInferences, the oldest is discarded and its call is not
	// added to the patterns.
	inferences map[callKind][]*inference
	mixed      map[callKind]*mixedTraffic
}

// callKind identifies a kind of call by the calling service and the route of the call.
type callKind struct{ service, route string }

// NewCorrelator returns a correlator without learned call patterns.
func NewCorrelator() *Correlator {
	return &Correlator{
		openRequests: map[trace.ID]*OpenRequest{},
		patterns:     newPatterns(),
		inferences:   map[callKind][]*inference{},
		mixed:        map[callKind]*mixedTraffic{},
	}
}

// Begin adds an open request.
func (c *Correlator) Begin(request OpenRequest) {
	request.calls = map[string]float64{}
	c.openRequests[request.Span.ID] = &request
}

// End removes an open request. The calls that requests of its route usually make must be
// among the calls linked to it. End therefore corrects the shares of earlier inferences.
func (c *Correlator) End(id trace.ID) {
	request, ok := c.openRequests[id]
	if !ok {
		return
	}
	delete(c.openRequests, id)
	request.ended = true
	c.patterns.completed[request.Route]++
	for kind, inferences := range c.inferences {
		if kind.service != request.Service {
			continue
		}
		c.rebalance(kind, inferences)
		c.inferences[kind] = slices.DeleteFunc(inferences, func(inferred *inference) bool {
			if !inferred.allEnded() {
				return false
			}
			c.learn(kind, inferred)
			return true
		})
	}
}

// Link links a call that a service makes by a route. carried is the span that the call
// carries, or the zero span. A request whose deadline has passed is linked only to calls that
// carry its span.
func (c *Correlator) Link(service, route string, carried trace.Span, now time.Time) Cause {
	if request := c.carriedRequest(service, carried); request != nil {
		return c.linkProven(request, route, now)
	}
	candidates := c.candidates(func(request *OpenRequest) bool {
		return request.Service == service && now.Before(request.Deadline)
	})
	switch len(candidates) {
	case 0:
		return Cause{}
	case 1:
		return c.linkProven(candidates[0], route, now)
	}
	return c.linkInferred(callKind{service, route}, candidates, now)
}

// carriedRequest returns the open request of a service that has the carried span, or nil.
func (c *Correlator) carriedRequest(service string, carried trace.Span) *OpenRequest {
	request, ok := c.openRequests[carried.ID]
	if !ok || request.Service != service || request.Span.Trace != carried.Trace {
		return nil
	}
	return request
}

// candidates returns the open requests for which mayCause returns true, in a deterministic
// order.
func (c *Correlator) candidates(mayCause func(*OpenRequest) bool) (candidates []*OpenRequest) {
	for _, request := range c.openRequests {
		if mayCause(request) {
			candidates = append(candidates, request)
		}
	}
	slices.SortFunc(candidates, func(a, b *OpenRequest) int {
		return cmp.Or(a.StartedAt.Compare(b.StartedAt), cmp.Compare(a.Span.ID, b.Span.ID))
	})
	return candidates
}

// linkProven links a call to a request that is certainly its cause.
func (c *Correlator) linkProven(request *OpenRequest, route string, now time.Time) Cause {
	request.calls[route]++
	c.patterns.getOrCreate(request.Route, route).observe(now.Sub(request.StartedAt), 1)
	return causeOf(request, trace.LinkProven)
}

// linkInferred links a call to the most likely of several candidates.
func (c *Correlator) linkInferred(kind callKind, candidates []*OpenRequest, now time.Time) Cause {
	inferences := c.inferences[kind]
	inferred := c.newInference(kind, candidates, inferences, now)
	if inferences = append(inferences, inferred); len(inferences) > maxInferences {
		inferences = slices.Delete(inferences, 0, 1)
	}
	c.inferences[kind] = inferences
	c.rebalance(kind, inferences)
	best := inferred.best()
	cause := causeOf(candidates[best], trace.LinkInferred)
	for i, request := range candidates {
		if i != best && inferred.shares[i] >= minCandidateShare {
			cause.addCandidate(request)
		}
	}
	return cause
}
