package endpoints

import (
	"slices"
	"time"
)

// maxUnconfirmed is how many instances are remembered that were heard for the first time at a
// moment when whoever is there should have been heard before. (ours)
const maxUnconfirmed = 64

// unconfirmedAnnouncement is such an instance, and the count of its announcement.
type unconfirmedAnnouncement struct {
	instance string
	sequence uint64
}

// isStale tells whether an announcement comes from before what is known by now, so that it
// tells nothing any more: a later one of the instance was taken, the instance has said that
// it leaves, or another has its address and is there. (DESIGN 9.1)
func (r Registry) isStale(a Announcement, now time.Time) bool {
	if r.endpoints[a.Instance].Supersedes(a) {
		return true
	}
	if r.departures.Contains(a.Instance) {
		return !a.Draining
	}
	return r.displaced.Contains(a.Instance) && r.addressTaken(a, now)
}

// addressTaken tells whether another instance has the address, was heard lately, and again
// after its first announcement here: one alone may be the late one.
func (r Registry) addressTaken(a Announcement, now time.Time) bool {
	for _, e := range r.endpoints {
		if e.Address == a.Address && e.Instance != a.Instance && e.confirmed && now.Sub(e.LastHeartbeat) <= r.Heartbeats.Freshness() {
			return true
		}
	}
	return false
}

// isNewer tells whether an announcement is not just its backend's last one, doubled.
func (r Registry) isNewer(previous Endpoint, a Announcement, now time.Time) bool {
	if a.Sequence != 0 {
		return a.Sequence > previous.sequence
	}
	return now.Sub(previous.LastHeartbeat) >= r.Heartbeats.interval()/2
}

// needsConfirmation tells whether an announcement of an unknown instance may be late, from before this
// process started: it isn't the instance's first, and whoever is there has been heard by now,
// or another is known to have its address. It is taken once a later one of the instance comes.
func (r Registry) needsConfirmation(a Announcement, now time.Time) bool {
	discovered := !r.Started.IsZero() && now.Sub(r.Started) > r.Heartbeats.DiscoveryDelay()
	if a.Sequence <= 1 || !discovered && !r.addressTaken(a, now) {
		return false
	}
	i := slices.IndexFunc(r.unconfirmed, func(d unconfirmedAnnouncement) bool { return d.instance == a.Instance })
	return i < 0 || a.Sequence <= r.unconfirmed[i].sequence
}

// withUnconfirmed remembers an announcement that is not taken yet.
func (r Registry) withUnconfirmed(a Announcement) Registry {
	next := r
	next.unconfirmed = slices.DeleteFunc(slices.Clone(r.unconfirmed), func(d unconfirmedAnnouncement) bool { return d.instance == a.Instance })
	next.unconfirmed = append(next.unconfirmed, unconfirmedAnnouncement{instance: a.Instance, sequence: a.Sequence})
	next.unconfirmed = next.unconfirmed[max(0, len(next.unconfirmed)-maxUnconfirmed):]
	return next
}

// IsUnconfirmed tells whether an instance has announced itself and was not taken yet.
func (r Registry) IsUnconfirmed(instance string) bool {
	return slices.ContainsFunc(r.unconfirmed, func(d unconfirmedAnnouncement) bool { return d.instance == instance })
}
