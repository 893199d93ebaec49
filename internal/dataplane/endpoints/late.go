package endpoints

import (
	"slices"
	"time"
)

// mostDoubted is how many instances are remembered that were heard for the first time at a
// moment when whoever is there should have been heard before. (ours)
const mostDoubted = 64

// doubt is such an instance, and the count of its announcement.
type doubt struct {
	instance string
	count    uint64
}

// late tells whether an announcement comes from before what is known by now, so that it
// tells nothing any more: a later one of the instance was taken, the instance has said that
// it leaves, or another has its address and is there. (DESIGN 9.1)
func (r Roster) late(a Announcement, now time.Time) bool {
	if r.entries[a.Instance].Overtakes(a) {
		return true
	}
	if r.departures.Contains(a.Instance) {
		return !a.Leaving
	}
	return r.displaced.Contains(a.Instance) && r.heldByAnother(a, now)
}

// heldByAnother tells whether another instance has the address, was heard lately, and again
// after its first announcement here: one alone may be the late one.
func (r Roster) heldByAnother(a Announcement, now time.Time) bool {
	for _, e := range r.entries {
		if e.Address == a.Address && e.Instance != a.Instance && e.again && now.Sub(e.Heard) <= r.Pace.Fresh() {
			return true
		}
	}
	return false
}

// heardAgain tells whether an announcement is not just its backend's last one, doubled.
func (r Roster) heardAgain(old Entry, a Announcement, now time.Time) bool {
	if a.Count != 0 {
		return a.Count > old.count
	}
	return now.Sub(old.Heard) >= r.Pace.beat()/2
}

// doubts tells whether an announcement of an unknown instance may be late, from before this
// process started: it isn't the instance's first, and whoever is there has been heard by now,
// or another is known to have its address. It is taken once a later one of the instance comes.
func (r Roster) doubts(a Announcement, now time.Time) bool {
	settled := !r.Started.IsZero() && now.Sub(r.Started) > r.Pace.Settled()
	if a.Count <= 1 || !settled && !r.heldByAnother(a, now) {
		return false
	}
	i := slices.IndexFunc(r.doubted, func(d doubt) bool { return d.instance == a.Instance })
	return i < 0 || a.Count <= r.doubted[i].count
}

// doubt remembers an announcement that is not taken yet.
func (r Roster) doubt(a Announcement) Roster {
	next := r
	next.doubted = slices.DeleteFunc(slices.Clone(r.doubted), func(d doubt) bool { return d.instance == a.Instance })
	next.doubted = append(next.doubted, doubt{instance: a.Instance, count: a.Count})
	next.doubted = next.doubted[max(0, len(next.doubted)-mostDoubted):]
	return next
}

// Doubted tells whether an instance has announced itself and was not taken yet.
func (r Roster) Doubted(instance string) bool {
	return slices.ContainsFunc(r.doubted, func(d doubt) bool { return d.instance == instance })
}
