package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"curlewwalk/membership"
)

// leftFor is how long a leaving backend stays so whatever it says, so that a beat that
// was overtaken can't call it back.
const leftFor = 2 * time.Second // (ours)

// Roster is an immutable table of own backends by instance.
type Roster struct {
	Rev uint64
	// Pace is how often they announce themselves.
	Pace    Pace
	entries map[string]Entry
}

// Announce takes a backend's word and returns the next roster, or the faults.
func (r Roster) Announce(a Announcement, home string, now time.Time) (Roster, []string) {
	share, ramp, left, faults := a.check()
	if len(faults) > 0 {
		return r, faults
	}
	old, known := r.entries[a.Instance]
	if old.Overtakes(a) {
		return r, nil // it tells nothing any more
	}
	e := Entry{Heard: now, ramp: ramp, share: share, coldUntil: now.Add(left), Desk: old.Desk, LeftAt: old.LeftAt, count: a.Count, Backend: membership.Backend{
		Instance: a.Instance, Service: a.Service, Address: a.Address, Capacity: a.Capacity, Share: share,
		Zone: cmp.Or(a.Zone, home), Leaving: a.Leaving,
	}}
	if e.Desk == nil || old.Address != a.Address || old.Service != a.Service {
		e.Desk = NewDesk()
	}
	if old.share == share {
		e.Share = old.Share // as it is shaded
	}
	switch {
	case a.Leaving && !old.Leaving:
		e.LeftAt = now
	case !a.Leaving && old.Leaving && now.Sub(old.LeftAt) < leftFor:
		e.Leaving = true
	}
	next := Roster{Rev: r.Rev, Pace: r.Pace, entries: maps.Clone(r.entries)}
	if next.entries == nil {
		next.entries = map[string]Entry{}
	}
	// An address that another instance announces is no longer the earlier one's.
	maps.DeleteFunc(next.entries, func(_ string, o Entry) bool {
		return o.Address == a.Address && o.Instance != a.Instance
	})
	next.entries[a.Instance] = e
	if !known || old.Backend != e.Backend {
		next.Rev++
	}
	return next, nil
}

// Leave marks a backend as leaving; false if it is not known.
func (r Roster) Leave(instance string, now time.Time) (Roster, bool) {
	e, ok := r.entries[instance]
	if !ok || e.Leaving {
		return r, ok
	}
	e.Leaving, e.LeftAt = true, now
	next := Roster{Rev: r.Rev + 1, Pace: r.Pace, entries: maps.Clone(r.entries)}
	next.entries[instance] = e
	return next, true
}

// Tick takes silent backends off.
func (r Roster) Tick(now time.Time) Roster {
	next := Roster{Rev: r.Rev, Pace: r.Pace, entries: maps.Clone(r.entries)}
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
	next := Roster{Rev: r.Rev, Pace: r.Pace, entries: maps.Clone(r.entries)}
	for k, e := range next.entries {
		share := e.share
		if n := rate(e.Service); n > 0 && e.Cold(now) {
			share = min(share, n*shadeFor/float64(e.Capacity))
		}
		if e.Share != share {
			e.Share = share
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
