package causality

import (
	"time"

	"curlewwalk/internal/trace"
)

const (
	// deadlineTolerance is the amount by which the deadline of a call may appear to exceed
	// the deadline of its cause. Both state their remaining time in whole milliseconds, and
	// do so at different moments.
	deadlineTolerance = 50 * time.Millisecond
	// maxClientShare is the maximum fraction of a route's requests that may be certain to
	// come from clients. Above it, all requests of the route are treated as requests from
	// clients.
	maxClientShare = 0.01
	// minSamples is the number of requests of a route that must be observed before any of
	// them is linked.
	minSamples = 4
)

// mixedTraffic counts the requests of a route that may come either from clients or from the
// sidecar's own backend.
type mixedTraffic struct {
	observed float64
	// fromClients is the number of observed requests that certainly come from clients.
	fromClients float64
}

// LinkMixed links a request that arrived at an address that is used both by clients and by
// the own backend for its outgoing calls. (DESIGN 2.5)
//
// A request that carries the span of an open request is linked to that request as proven. For
// other requests, LinkMixed relies on the fact that a call ends before its cause does. A
// request therefore certainly comes from a client if no request of the service is open, or if
// it has more time left (remaining) than every open request of the service. Open requests of
// the same route as the request are disregarded in both cases. If more than
// maxClientShare of a route's requests certainly come from clients, none of the route's
// requests is linked. The other requests are linked by inference, even if there is only one
// candidate.
//
// The returned cause may be used only as the parent in the trace, even if the link is proven.
func (c *Correlator) LinkMixed(service, route string, carried trace.Span, remaining time.Duration, now time.Time) Cause {
	if request := c.carriedRequest(service, carried); request != nil {
		return c.linkProven(request, route, now)
	}
	kind := callKind{service, route}
	candidates := c.candidates(func(request *OpenRequest) bool {
		return request.Service == service && request.Route != route && !request.Deadline.Add(deadlineTolerance).Before(now.Add(remaining))
	})
	traffic := c.mixed[kind]
	if traffic == nil {
		traffic = &mixedTraffic{}
		c.mixed[kind] = traffic
	}
	traffic.observed++
	if len(candidates) == 0 {
		traffic.fromClients++
	}
	if len(candidates) == 0 || traffic.observed < minSamples || traffic.fromClients > maxClientShare*traffic.observed {
		return Cause{}
	}
	return c.linkInferred(kind, candidates, now)
}
