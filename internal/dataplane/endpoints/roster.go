package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/membership"
)

// Roster is an immutable table of own backends by instance.
type Roster struct {
	Rev uint64
	// Pace is how often they announce themselves.
	Pace Pace
	// Started is when this process began to hear announcements.
	Started time.Time
	entries map[string]Entry
	// departures are those that have said that they leave, known or not.
	departures membership.Departures
	// displaced are those whose address another one has taken; doubted those that were
	// heard for the first time when they should have been heard before.
	displaced membership.Departures
	doubted   []doubt
	// draining tells that the sidecar is stopping: all its backends are told as leaving.
	draining bool
}

// Announce takes a backend's word and returns the next roster, or the faults. Of one that
// has said that it leaves, what says otherwise is late and tells nothing any more; and it
// takes no address, since another instance may have that by now. (DESIGN 9.1)
func (r Roster) Announce(a Announcement, home string, now time.Time) (Roster, []string) {
	share, ramp, left, faults := a.check()
	if len(faults) > 0 {
		return r, faults
	}
	old, known := r.entries[a.Instance]
	switch {
	case r.late(a, now):
		return r, nil
	case a.Leaving && !known:
		return r.Depart(a.Instance), nil
	case !known && r.doubts(a, now):
		return r.doubt(a), nil
	}
	e := Entry{Heard: now, ramp: ramp, share: share, coldUntil: now.Add(left), Desk: old.Desk, count: a.Count, Backend: membership.Backend{
		Instance: a.Instance, Service: a.Service, Address: a.Address, Capacity: a.Capacity, CapacityShare: share,
		Zone: cmp.Or(a.Zone, home), Draining: a.Leaving || r.draining,
	}}
	if e.Desk == nil || old.Address != a.Address || old.Service != a.Service {
		e.Desk = NewDesk()
	}
	e.again = known && (old.again || r.heardAgain(old, a, now))
	if old.share == share {
		e.CapacityShare = old.CapacityShare // as it is shaded
	}
	next := r.with(e)
	if a.Leaving && !r.departures.Contains(a.Instance) {
		next.departures, _ = r.departures.Add(a.Instance)
		next.Rev++
	}
	if !known || old.Backend != e.Backend {
		next.Rev++
	}
	return next, nil
}

// with is the roster with a backend that has announced itself. An address that it announces
// is no longer an earlier one's.
func (r Roster) with(e Entry) Roster {
	next := r.copy()
	maps.DeleteFunc(next.entries, func(_ string, other Entry) bool {
		taken := other.Address == e.Address && other.Instance != e.Instance
		if taken {
			next.displaced, _ = next.displaced.Add(other.Instance)
		}
		return taken
	})
	next.doubted = slices.DeleteFunc(slices.Clone(r.doubted), func(d doubt) bool { return d.instance == e.Instance })
	next.entries[e.Instance] = e
	return next
}

// copy is the same roster with a table of its own to change.
func (r Roster) copy() Roster {
	next := r
	if next.entries = maps.Clone(r.entries); next.entries == nil {
		next.entries = map[string]Entry{}
	}
	return next
}

// Depart takes that instances have said that they leave, whether they are known or not.
func (r Roster) Depart(instances ...string) Roster {
	departures, changed := r.departures.Add(instances...)
	if !changed {
		return r
	}
	next := r.copy()
	next.departures = departures
	next.Rev++
	for _, instance := range instances {
		if e, known := next.entries[instance]; known {
			e.Draining = true
			next.entries[instance] = e
		}
	}
	return next
}

// Departed tells whether an instance has said that it leaves.
func (r Roster) Departed(instance string) bool { return r.departures.Contains(instance) }

// DepartedSince tells whether an instance has said that it leaves since an earlier roster.
func (r Roster) DepartedSince(earlier Roster) bool {
	return r.departures.Last() != earlier.departures.Last()
}

// DepartedNewest lists the departures that are told to the cores.
func (r Roster) DepartedNewest() []string {
	return r.departures.Newest(membership.MaxReportedDepartures).List()
}

// Drain has all backends told as leaving: the sidecar is stopping. Their own words stand as
// they are, since they may go on after it has started again.
func (r Roster) Drain() Roster {
	next := r.copy()
	next.draining = true
	for instance, e := range next.entries {
		e.Draining = true
		next.entries[instance] = e
	}
	next.Rev++
	return next
}

// Tick takes silent backends off.
func (r Roster) Tick(now time.Time) Roster {
	next := r.copy()
	maps.DeleteFunc(next.entries, func(_ string, e Entry) bool { return now.Sub(e.Heard) > r.Pace.Forget() })
	if len(next.entries) == len(r.entries) {
		return r
	}
	next.Rev++
	return next
}

// shadeFor is the stretch of its rate that a cold backend's share is told as: about
// what may run there at a time. (ours)
const shadeFor = 0.3

// Shade lets the share that others are told of cold backends be what the rates of their
// services come to; rate is 0 for a service without one.
func (r Roster) Shade(rate func(service string) float64, now time.Time) Roster {
	next := r.copy()
	for k, e := range next.entries {
		share := e.share
		if n := rate(e.Service); n > 0 && e.Cold(now) {
			share = min(share, n*shadeFor/float64(e.Capacity))
		}
		if e.CapacityShare != share {
			e.CapacityShare = share
			next.entries[k] = e
			next.Rev = r.Rev + 1
		}
	}
	if next.Rev == r.Rev {
		return r
	}
	return next
}

// Entry finds a backend; the zero Entry if it is not known.
func (r Roster) Entry(instance string) (e Entry, known bool) {
	e, known = r.entries[instance]
	return e, known
}

// Entries lists the backends by instance.
func (r Roster) Entries() []Entry {
	var out []Entry
	for _, k := range slices.Sorted(maps.Keys(r.entries)) {
		out = append(out, r.entries[k])
	}
	return out
}

// Open counts what runs and waits, by zone.
func (r Roster) Open() map[string]int64 {
	out := map[string]int64{}
	for _, e := range r.entries {
		out[e.Zone] += e.Desk.Open()
	}
	return out
}

// Backends lists what is told to others.
func (r Roster) Backends() []membership.Backend {
	var out []membership.Backend
	for _, e := range r.Entries() {
		out = append(out, e.Backend)
	}
	return out
}
