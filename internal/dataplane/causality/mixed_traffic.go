package causality

import (
	"time"

	"curlewwalk/internal/trace"
)

const (
	// deadlineTolerance is by how much a call may seem to outlive its cause: both tell
	// their time left in whole milliseconds, and at different moments.
	deadlineTolerance = 50 * time.Millisecond
	// maxForeignShare is the fraction of a route's requests that are certainly clients'
	// from which on all of them count as clients'.
	maxForeignShare = 0.01
	// minSamples is the number of requests of a route that are observed before any of
	// them is linked.
	minSamples = 4
)

// mixedTraffic counts the requests of a route that may be clients' as well as calls of the
// own backend.
type mixedTraffic struct {
	observed float64
	// foreign is the number of those that are certainly clients'.
	foreign float64
}

// LinkMixed links a request that arrived where clients send their requests and the own
// backend sends its calls. A call ends before its cause: so one that has more time left
// (remaining) than any open request of the service, or arrives while none is open, is a
// client's; and a route of which some requests are clients' is one of clients. What remains
// is linked by inference, even if there is only one candidate. Only a request that carries the
// span of an open one is linked to that as proven. Either way the cause is to be used for the
// parent in the trace only. (DESIGN 2.5)
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
		traffic.foreign++
	}
	if len(candidates) == 0 || traffic.observed < minSamples || traffic.foreign > maxForeignShare*traffic.observed {
		return Cause{}
	}
	return c.linkInferred(kind, candidates, now)
}
