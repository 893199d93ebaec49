package causality

import (
	"time"

	"curlewwalk/internal/trace"
)

const (
	// deadlineTolerance is by how much a call may outlive its cause as told: both are told in whole
	// milliseconds and at different moments. (ours)
	deadlineTolerance = 50 * time.Millisecond
	// maxForeignShare is the part of a way's requests that can't be a backend's calls from
	// which on the way counts as one of clients. (ours)
	maxForeignShare = 0.01
	// minSamples is how many requests of a way are looked at before any is tied. (ours)
	minSamples = 4
)

// mixedTraffic is what was seen of a way's requests where callers can't be told apart.
type mixedTraffic struct{ observed, foreign float64 }

// LinkMixed ties a request that may be a client's as well as a call of the machine's own
// backend: both arrive at one address. A call ends with its cause, so one that has more
// time left than all that its service has open, or comes while nothing is, is a client's;
// a way of which some are so is one of clients. What is left is inferred, never proven:
// it decides no more than where the request hangs in its tree. (DESIGN 2.5)
func (b *Correlator) LinkMixed(service, route string, carried trace.Span, remaining time.Duration, now time.Time) Cause {
	if request, ok := b.openRequests[carried.ID]; ok && request.Service == service && request.Span.Trace == carried.Trace {
		return b.linkProven(request, route, now)
	}
	key := [2]string{service, route}
	traffic := b.mixed[key]
	if traffic == nil {
		traffic = &mixedTraffic{}
		b.mixed[key] = traffic
	}
	traffic.observed++
	var candidates []*OpenRequest
	for _, request := range b.openRequests {
		if request.Service == service && request.Route != route && !request.Deadline.Add(deadlineTolerance).Before(now.Add(remaining)) {
			candidates = append(candidates, request)
		}
	}
	if len(candidates) == 0 {
		traffic.foreign++
	}
	if len(candidates) == 0 || traffic.observed < minSamples || traffic.foreign > maxForeignShare*traffic.observed {
		return Cause{}
	}
	sortCandidates(candidates)
	return b.linkInferred(key, candidates, now)
}
