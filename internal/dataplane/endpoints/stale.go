package endpoints

import (
	"slices"
	"time"
)

// maxUnconfirmed bounds the announcements that are remembered as unconfirmed.
const maxUnconfirmed = 64 // (ours)

// unconfirmedAnnouncement is the first announcement of an instance, which changed nothing
// because it may be stale.
type unconfirmedAnnouncement struct {
	instance string
	sequence uint64
}

// isStale reports whether an announcement was overtaken by what is known: by a later one of
// the instance, by the instance's departure, or by another instance that has the address and
// is there. (DESIGN 9.1)
func (r Registry) isStale(a Announcement, now time.Time) bool {
	if r.endpoints[a.Instance].Supersedes(a) {
		return true
	}
	if r.departures.Contains(a.Instance) {
		return !a.Draining
	}
	return r.displaced.Contains(a.Instance) && r.addressTaken(a, now)
}

// addressTaken reports whether another instance has the announced address: it was heard
// from lately, and more than once, since a single announcement may itself be the stale one.
func (r Registry) addressTaken(a Announcement, now time.Time) bool {
	for _, e := range r.endpoints {
		if e.Address == a.Address && e.Instance != a.Instance && e.confirmed && now.Sub(e.LastHeartbeat) <= r.Heartbeats.Freshness() {
			return true
		}
	}
	return false
}

// isNewer reports whether an announcement was sent after the previous one of its instance,
// and is not that one, duplicated on the way.
func (r Registry) isNewer(previous Endpoint, a Announcement, now time.Time) bool {
	if a.Sequence != 0 {
		return a.Sequence > previous.sequence
	}
	return now.Sub(previous.LastHeartbeat) >= r.Heartbeats.interval()/2
}

// needsConfirmation reports whether the announcement of an unknown instance may be stale,
// sent before this process started. It may if it is not the instance's first, and either all
// instances that are there have been heard from by now, or another has the address. A later
// announcement of the instance confirms it.
func (r Registry) needsConfirmation(a Announcement, now time.Time) bool {
	discovered := !r.Started.IsZero() && now.Sub(r.Started) > r.Heartbeats.DiscoveryDelay()
	if a.Sequence <= 1 || !discovered && !r.addressTaken(a, now) {
		return false
	}
	i := slices.IndexFunc(r.unconfirmed, func(u unconfirmedAnnouncement) bool { return u.instance == a.Instance })
	return i < 0 || a.Sequence <= r.unconfirmed[i].sequence
}

// withUnconfirmed returns the registry with an announcement that needs to be confirmed.
func (r Registry) withUnconfirmed(a Announcement) Registry {
	next := r
	next.unconfirmed = append(r.unconfirmedExcept(a.Instance), unconfirmedAnnouncement{instance: a.Instance, sequence: a.Sequence})
	next.unconfirmed = next.unconfirmed[max(0, len(next.unconfirmed)-maxUnconfirmed):]
	return next
}

// unconfirmedExcept returns a copy of the unconfirmed announcements without an instance's.
func (r Registry) unconfirmedExcept(instance string) []unconfirmedAnnouncement {
	return slices.DeleteFunc(slices.Clone(r.unconfirmed), func(u unconfirmedAnnouncement) bool { return u.instance == instance })
}

// IsUnconfirmed reports whether an instance has announced itself and needs to be confirmed.
func (r Registry) IsUnconfirmed(instance string) bool {
	return slices.ContainsFunc(r.unconfirmed, func(u unconfirmedAnnouncement) bool { return u.instance == instance })
}
