package endpoints

import (
	"cmp"
	"time"

	"curlewwalk/internal/membership"
)

// Endpoint is one own backend in a snapshot.
type Endpoint struct {
	membership.Backend
	// LastHeartbeat is when it last announced itself, by the monotonic clock.
	LastHeartbeat time.Time
	warmupRamp    time.Duration
	// announcedShare is what it said that it bears; Share is what others are told.
	announcedShare float64
	// sequence is that of its newest announcement; again tells that it was not the first one
	// heard here.
	sequence  uint64
	confirmed bool
	// warmAt is when it is warm by its own word.
	warmAt time.Time
	// Admission counts its open requests; all snapshots share it.
	Admission *AdmissionController
}

// Supersedes tells whether an announcement came later than one that was sent after it.
func (e Endpoint) Supersedes(a Announcement) bool { return a.Sequence != 0 && a.Sequence < e.sequence }

// ShareAt is the part of its capacity that the backend can bear at a time.
func (e Endpoint) ShareAt(now time.Time) float64 {
	share := cmp.Or(e.announcedShare, e.CapacityShare)
	if e.warmupRamp <= 0 {
		return share
	}
	done := min(1, float64(now.Sub(e.LastHeartbeat))/float64(e.warmupRamp))
	return share + (1-share)*done
}

// WarmingUp tells whether the backend bears no more than its service's rate yet.
func (e Endpoint) WarmingUp(now time.Time) bool { return now.Before(e.warmAt) }

// ConcurrencyLimit is how many requests it may run at a time; ramp is the share of it
// that its zone is given. fresh tells that runs which a killed sidecar had let
// in may still be going on. (DESIGN 15.2)
func (e Endpoint) ConcurrencyLimit(ramp float64, recentlyStarted bool, now time.Time) int64 {
	bearable := float64(e.Capacity) * e.ShareAt(now) * ramp
	if recentlyStarted {
		bearable /= 2
	}
	return max(1, int64(bearable))
}
