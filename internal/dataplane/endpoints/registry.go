package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/membership"
)

// Registry is an immutable table of own backends by instance.
type Registry struct {
	Version uint64
	// Heartbeats is how often they announce themselves.
	Heartbeats HeartbeatPolicy
	// Started is when this process began to hear announcements.
	Started   time.Time
	endpoints map[string]Endpoint
	// departures are those that have said that they leave, known or not.
	departures membership.Departures
	// displaced are those whose address another one has taken; doubted those that were
	// heard for the first time when they should have been heard before.
	displaced   membership.Departures
	unconfirmed []unconfirmedAnnouncement
	// draining tells that the sidecar is stopping: all its backends are told as leaving.
	draining bool
}

// Announce takes a backend's word and returns the next roster, or the faults. Of one that
// has said that it leaves, what says otherwise is late and tells nothing any more; and it
// takes no address, since another instance may have that by now. (DESIGN 9.1)
func (r Registry) Announce(a Announcement, defaultZone string, now time.Time) (Registry, []string) {
	share, ramp, remaining, violations := a.validate()
	if len(violations) > 0 {
		return r, violations
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
	e := Endpoint{LastHeartbeat: now, warmupRamp: ramp, announcedShare: share, warmAt: now.Add(remaining), Admission: previous.Admission, sequence: a.Sequence, Backend: membership.Backend{
		Instance: a.Instance, Service: a.Service, Address: a.Address, Capacity: a.Capacity, CapacityShare: share,
		Zone: cmp.Or(a.Zone, defaultZone), Draining: a.Draining || r.draining,
	}}
	if e.Admission == nil || previous.Address != a.Address || previous.Service != a.Service {
		e.Admission = NewAdmissionController()
	}
	e.confirmed = known && (previous.confirmed || r.isNewer(previous, a, now))
	if previous.announcedShare == share {
		e.CapacityShare = previous.CapacityShare // as it is shaded
	}
	next := r.withEndpoint(e)
	if a.Draining && !r.departures.Contains(a.Instance) {
		next.departures, _ = r.departures.Add(a.Instance)
		next.Version++
	}
	if !known || previous.Backend != e.Backend {
		next.Version++
	}
	return next, nil
}

// withEndpoint is the roster with a backend that has announced itself. An address that it announces
// is no longer an earlier one's.
func (r Registry) withEndpoint(e Endpoint) Registry {
	next := r.clone()
	maps.DeleteFunc(next.endpoints, func(_ string, other Endpoint) bool {
		displaced := other.Address == e.Address && other.Instance != e.Instance
		if displaced {
			next.displaced, _ = next.displaced.Add(other.Instance)
		}
		return displaced
	})
	next.unconfirmed = slices.DeleteFunc(slices.Clone(r.unconfirmed), func(d unconfirmedAnnouncement) bool { return d.instance == e.Instance })
	next.endpoints[e.Instance] = e
	return next
}

// clone is the same roster with a table of its own to change.
func (r Registry) clone() Registry {
	next := r
	if next.endpoints = maps.Clone(r.endpoints); next.endpoints == nil {
		next.endpoints = map[string]Endpoint{}
	}
	return next
}

// MarkDeparted takes that instances have said that they leave, whether they are known or not.
func (r Registry) MarkDeparted(instances ...string) Registry {
	departures, changed := r.departures.Add(instances...)
	if !changed {
		return r
	}
	next := r.clone()
	next.departures = departures
	next.Version++
	for _, instance := range instances {
		if e, known := next.endpoints[instance]; known {
			e.Draining = true
			next.endpoints[instance] = e
		}
	}
	return next
}

// HasDeparted tells whether an instance has said that it leaves.
func (r Registry) HasDeparted(instance string) bool { return r.departures.Contains(instance) }

// DepartedSince tells whether an instance has said that it leaves since an earlier roster.
func (r Registry) DepartedSince(earlier Registry) bool {
	return r.departures.Last() != earlier.departures.Last()
}

// RecentDepartures lists the departures that are told to the cores.
func (r Registry) RecentDepartures() []string {
	return r.departures.Newest(membership.MaxReportedDepartures).List()
}

// Drain has all backends told as leaving: the sidecar is stopping. Their own words stand as
// they are, since they may go on after it has started again.
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

// ExpireSilent takes silent backends off.
func (r Registry) ExpireSilent(now time.Time) Registry {
	next := r.clone()
	maps.DeleteFunc(next.endpoints, func(_ string, e Endpoint) bool { return now.Sub(e.LastHeartbeat) > r.Heartbeats.RemoveAfter() })
	if len(next.endpoints) == len(r.endpoints) {
		return r
	}
	next.Version++
	return next
}

// warmupSeconds is the stretch of its rate that a cold backend's share is told as: about
// what may run there at a time. (ours)
const warmupSeconds = 0.3

// ScaleShares lets the share that others are told of cold backends be what the rates of their
// services come to; rate is 0 for a service without one.
func (r Registry) ScaleShares(rate func(service string) float64, now time.Time) Registry {
	next := r.clone()
	for k, e := range next.endpoints {
		share := e.announcedShare
		if n := rate(e.Service); n > 0 && e.WarmingUp(now) {
			share = min(share, n*warmupSeconds/float64(e.Capacity))
		}
		if e.CapacityShare != share {
			e.CapacityShare = share
			next.endpoints[k] = e
			next.Version = r.Version + 1
		}
	}
	if next.Version == r.Version {
		return r
	}
	return next
}

// Lookup finds a backend; the zero Entry if it is not known.
func (r Registry) Lookup(instance string) (e Endpoint, known bool) {
	e, known = r.endpoints[instance]
	return e, known
}

// Endpoints lists the backends by instance.
func (r Registry) Endpoints() []Endpoint {
	var out []Endpoint
	for _, k := range slices.Sorted(maps.Keys(r.endpoints)) {
		out = append(out, r.endpoints[k])
	}
	return out
}

// Outstanding counts what runs and waits, by zone.
func (r Registry) Outstanding() map[string]int64 {
	out := map[string]int64{}
	for _, e := range r.endpoints {
		out[e.Zone] += e.Admission.Outstanding()
	}
	return out
}

// Backends lists what is told to others.
func (r Registry) Backends() []membership.Backend {
	var out []membership.Backend
	for _, e := range r.Endpoints() {
		out = append(out, e.Backend)
	}
	return out
}
