package endpoints

import (
	"slices"
	"time"
)

// maxUnconfirmed bounds the number of stored unconfirmed announcements.
const maxUnconfirmed = 64

// unconfirmedAnnouncement is the first announcement received from an instance. It was not applied
// because it may be stale.
type unconfirmedAnnouncement struct {
	instance string
	sequence uint64
}

// isStale reports whether an announcement is superseded by a later announcement of the instance, by
// the departure of the instance, or by another active instance that has taken over the address.
// (DESIGN 9.1)
func (r Registry) isStale(a Announcement, now time.Time) bool {
	if r.endpoints[a.Instance].Supersedes(a) {
		return true
	}
	if r.HasDeparted(a.Instance) {
		return !a.Draining
	}
	return r.displaced.Contains(a.Instance) && r.addressTaken(a, now)
}

// addressTaken reports whether another instance has the announced address. The other instance must
// be fresh and confirmed by more than one announcement, since a single announcement may itself be
// the stale one.
func (r Registry) addressTaken(a Announcement, now time.Time) bool {
	for _, e := range r.endpoints {
		if e.Address == a.Address && e.Instance != a.Instance && e.confirmed && now.Sub(e.LastHeartbeat) <= r.Heartbeats.Freshness() {
			return true
		}
	}
	return false
}

// isNewer reports whether an announcement was sent after the previous one of its instance, and is
// not a duplicate of it. Without a sequence number, an announcement counts as newer if it arrives
// at least half a heartbeat interval after the previous one.
func (r Registry) isNewer(previous Endpoint, a Announcement, now time.Time) bool {
	if a.Sequence != 0 {
		return a.Sequence > previous.sequence
	}
	return now.Sub(previous.LastHeartbeat) >= r.Heartbeats.interval()/2
}

// needsConfirmation reports whether the announcement of an unknown instance may have been sent
// before this process started, and so may be stale. A first announcement, or one without a sequence
// number, needs no confirmation. Any other announcement needs confirmation in two cases. In the
// first case, the discovery delay has passed. This process then knows every instance that was
// running at its start, so an instance that is still unknown may have stopped before. In the second
// case, another instance has the address. A later announcement of the instance confirms it.
func (r Registry) needsConfirmation(a Announcement, now time.Time) bool {
	discovered := !r.Started.IsZero() && now.Sub(r.Started) > r.Heartbeats.DiscoveryDelay()
	if a.Sequence <= 1 || !discovered && !r.addressTaken(a, now) {
		return false
	}
	i := slices.IndexFunc(r.unconfirmed, func(u unconfirmedAnnouncement) bool { return u.instance == a.Instance })
	return i < 0 || a.Sequence <= r.unconfirmed[i].sequence
}

// withUnconfirmed returns the registry with an announcement stored as unconfirmed.
func (r Registry) withUnconfirmed(a Announcement) Registry {
	next := r
	next.unconfirmed = append(r.unconfirmedExcept(a.Instance), unconfirmedAnnouncement{instance: a.Instance, sequence: a.Sequence})
	next.unconfirmed = next.unconfirmed[max(0, len(next.unconfirmed)-maxUnconfirmed):]
	return next
}

// unconfirmedExcept returns a copy of the unconfirmed announcements without those of an instance.
func (r Registry) unconfirmedExcept(instance string) []unconfirmedAnnouncement {
	return slices.DeleteFunc(slices.Clone(r.unconfirmed), func(u unconfirmedAnnouncement) bool { return u.instance == instance })
}

// IsUnconfirmed reports whether an instance has an announcement that is not confirmed yet.
func (r Registry) IsUnconfirmed(instance string) bool {
	return slices.ContainsFunc(r.unconfirmed, func(u unconfirmedAnnouncement) bool { return u.instance == instance })
}
