package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/membership"
)

// Registry is the table of the local backends by instance. It is immutable: each change returns a
// new registry. The zero value is empty.
type Registry struct {
	// Version increases with each change that is reported to other nodes.
	Version uint64
	// Heartbeats is the heartbeat policy of the backends.
	Heartbeats HeartbeatPolicy
	// Started is the time at which this process began to receive announcements.
	Started   time.Time
	endpoints map[string]Endpoint
	// departures holds the instances that have announced their departure, including instances that
	// were not known before.
	departures membership.Departures
	// recorded lists the departures of all sidecars that the control state records. unrecorded lists
	// the departures of own backends that it does not record yet, the oldest first.
	recorded, unrecorded []string
	// displaced holds the instances whose address has been taken over by another instance. They need
	// not have departed.
	displaced membership.Departures
	// unconfirmed holds announcements that may be stale; see needsConfirmation.
	unconfirmed []unconfirmedAnnouncement
	// draining means that the sidecar is stopping and reports all its backends as draining.
	draining bool
}

// Announce returns the registry after an announcement, or the errors in the announcement, worded
// for its sender. A stale announcement does not change the registry. An announcement that needs
// confirmation is only stored as unconfirmed. An unknown backend that announces that it is draining
// gets no endpoint, since its address may already belong to another instance. (DESIGN 9.1)
func (r Registry) Announce(a Announcement, defaultZone string, now time.Time) (Registry, []string) {
	start, faults := a.validate()
	if len(faults) > 0 {
		return r, faults
	}
	previous, known := r.endpoints[a.Instance]
	switch {
	case r.isStale(a, now):
		return r, nil
	case a.Draining && !known:
		return r.MarkDeparted(a.Instance), nil
	case !known && r.needsConfirmation(a, now):
		return r.withUnconfirmed(a), nil
	}
	e := r.newEndpoint(a, start, defaultZone, now)
	e.continueFrom(previous)
	e.confirmed = known && (previous.confirmed || r.isNewer(previous, a, now))
	next := r.withEndpoint(e)
	if a.Draining && !r.departures.Contains(a.Instance) {
		next = next.withDepartures(a.Instance)
		next.Version++
	}
	if !known || previous.Backend != e.Backend {
		next.Version++
	}
	return next, nil
}

// newEndpoint returns the endpoint that an announcement describes.
func (r Registry) newEndpoint(a Announcement, start slowStart, defaultZone string, now time.Time) Endpoint {
	return Endpoint{
		Backend: membership.Backend{
			Instance: a.Instance, Service: a.Service, Address: a.Address,
			Zone: cmp.Or(a.Zone, defaultZone), Capacity: a.Capacity, CapacityShare: start.share,
			Draining: a.Draining || r.draining,
		},
		LastHeartbeat: now, announcedShare: start.share, warmupRamp: start.ramp, warmAt: now.Add(start.remaining),
		sequence: a.Sequence,
	}
}

// continueFrom copies the state that an announcement does not change from the previous endpoint of
// the instance, which may be the zero value. This state is the AdmissionController, if the address
// and service are the same, and the share set by ScaleShares, if the announced share is the same.
func (e *Endpoint) continueFrom(previous Endpoint) {
	e.Admission = previous.Admission
	if e.Admission == nil || previous.Address != e.Address || previous.Service != e.Service {
		e.Admission = NewAdmissionController()
	}
	if previous.announcedShare == e.announcedShare {
		e.CapacityShare = previous.CapacityShare
	}
}

// withEndpoint returns the registry with an endpoint added or replaced. Other endpoints with the
// same address are displaced.
func (r Registry) withEndpoint(e Endpoint) Registry {
	next := r.clone()
	maps.DeleteFunc(next.endpoints, func(_ string, other Endpoint) bool {
		displaced := other.Address == e.Address && other.Instance != e.Instance
		if displaced {
			next.displaced, _ = next.displaced.Add(other.Instance)
		}
		return displaced
	})
	next.unconfirmed = r.unconfirmedExcept(e.Instance)
	next.endpoints[e.Instance] = e
	return next
}

// clone returns a copy of the registry whose endpoints map may be modified.
func (r Registry) clone() Registry {
	next := r
	if next.endpoints = maps.Clone(r.endpoints); next.endpoints == nil {
		next.endpoints = map[string]Endpoint{}
	}
	return next
}

// Drain returns the registry of a sidecar that is stopping. All its backends are reported as
// draining. They are not recorded as departures, since the backends may continue after the sidecar
// restarts.
func (r Registry) Drain() Registry {
	next := r.clone()
	next.draining = true
	for instance, e := range next.endpoints {
		e.Draining = true
		next.endpoints[instance] = e
	}
	next.Version++
	return next
}

// ExpireSilent removes the backends whose latest announcement is older than Heartbeats.RemoveAfter.
func (r Registry) ExpireSilent(now time.Time) Registry {
	next := r.clone()
	maps.DeleteFunc(next.endpoints, func(_ string, e Endpoint) bool {
		return now.Sub(e.LastHeartbeat) > r.Heartbeats.RemoveAfter()
	})
	if len(next.endpoints) == len(r.endpoints) {
		return r
	}
	next.Version++
	return next
}

// warmupSeconds converts the rate of a backend that is warming up, in requests per second, to the
// capacity that is reported for it. About that many requests run concurrently at this rate.
const warmupSeconds = 0.3

// ScaleShares sets the reported capacity shares of the backends whose rate is limited.
func (r Registry) ScaleShares(policy WarmupPolicy, now time.Time) Registry {
	next := r.clone()
	for instance, e := range next.endpoints {
		share := e.announcedShare
		if rate, limited := e.WarmupLimit(policy, now); limited {
			share = min(share, rate*warmupSeconds/float64(e.Capacity))
		}
		if e.CapacityShare != share {
			e.CapacityShare = share
			next.endpoints[instance] = e
			next.Version = r.Version + 1
		}
	}
	if next.Version == r.Version {
		return r
	}
	return next
}

// Lookup returns the endpoint of an instance.
func (r Registry) Lookup(instance string) (e Endpoint, known bool) {
	e, known = r.endpoints[instance]
	return e, known
}

// Endpoints returns all endpoints, sorted by instance.
func (r Registry) Endpoints() []Endpoint {
	var endpoints []Endpoint
	for _, instance := range slices.Sorted(maps.Keys(r.endpoints)) {
		endpoints = append(endpoints, r.endpoints[instance])
	}
	return endpoints
}

// Outstanding returns the number of requests that are running or waiting in each zone.
func (r Registry) Outstanding() map[string]int64 {
	byZone := map[string]int64{}
	for _, e := range r.endpoints {
		byZone[e.Zone] += e.Admission.Outstanding()
	}
	return byZone
}

// Backends returns the backends as reported to other nodes, sorted by instance.
func (r Registry) Backends() []membership.Backend {
	var backends []membership.Backend
	for _, e := range r.Endpoints() {
		backends = append(backends, e.Backend)
	}
	return backends
}
