package endpoints

import (
	"cmp"
	"time"

	"curlewwalk/internal/membership"
)

// Entry is one own backend in a snapshot.
type Entry struct {
	membership.Backend
	// Heard is when it last announced itself, by the monotonic clock.
	Heard time.Time
	ramp  time.Duration
	// share is what it said that it bears; Share is what others are told.
	share float64
	// count is that of its newest announcement; again tells that it was not the first one
	// heard here.
	count uint64
	again bool
	// coldUntil is when it is warm by its own word.
	coldUntil time.Time
	// Desk counts its open requests; all snapshots share it.
	Desk *Desk
}

// Overtakes tells whether an announcement came later than one that was sent after it.
func (e Entry) Overtakes(a Announcement) bool { return a.Count != 0 && a.Count < e.count }

// ShareAt is the part of its capacity that the backend can bear at a time.
func (e Entry) ShareAt(now time.Time) float64 {
	share := cmp.Or(e.share, e.CapacityShare)
	if e.ramp <= 0 {
		return share
	}
	done := min(1, float64(now.Sub(e.Heard))/float64(e.ramp))
	return share + (1-share)*done
}

// Cold tells whether the backend bears no more than its service's rate yet.
func (e Entry) Cold(now time.Time) bool { return now.Before(e.coldUntil) }

// Limit is how many requests it may run at a time; ramp is the share of it
// that its zone is given. fresh tells that runs which a killed sidecar had let
// in may still be going on. (DESIGN 15.2)
func (e Entry) Limit(ramp float64, fresh bool, now time.Time) int64 {
	bear := float64(e.Capacity) * e.ShareAt(now) * ramp
	if fresh {
		bear /= 2
	}
	return max(1, int64(bear))
}
