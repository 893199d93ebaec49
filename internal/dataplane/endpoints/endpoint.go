package endpoints

import (
	"cmp"
	"time"

	"curlewwalk/internal/membership"
)

// Endpoint is a backend of the own machine, as a Registry has it. Its CapacityShare is the
// share that other nodes are to route by; what it bears here is ShareAt.
type Endpoint struct {
	membership.Backend
	// LastHeartbeat is when the latest announcement arrived, by the monotonic clock.
	LastHeartbeat time.Time
	// announcedShare is the fraction of its capacity that the backend bore at
	// LastHeartbeat; it bears all of it warmupRamp later.
	announcedShare float64
	warmupRamp     time.Duration
	// warmAt is when the backend bears more than its service's rate.
	warmAt time.Time
	// sequence is that of the latest announcement.
	sequence uint64
	// confirmed says that more than one announcement of the backend has arrived: a single
	// one may be stale.
	confirmed bool
	// Admission admits requests to the backend. All registries share it.
	Admission *AdmissionController
}

// Supersedes reports whether the backend's latest announcement was sent after the given one, which
// is stale then. It is false of announcements without a number.
func (e Endpoint) Supersedes(a Announcement) bool { return a.Sequence != 0 && a.Sequence < e.sequence }

// ShareAt returns the fraction of its capacity that the backend bears at a time.
func (e Endpoint) ShareAt(now time.Time) float64 {
	share := cmp.Or(e.announcedShare, e.CapacityShare)
	if e.warmupRamp <= 0 {
		return share
	}
	progress := min(1, float64(now.Sub(e.LastHeartbeat))/float64(e.warmupRamp))
	return share + (1-share)*progress
}

// WarmingUp reports whether the backend bears no more than its service's rate yet.
func (e Endpoint) WarmingUp(now time.Time) bool { return now.Before(e.warmAt) }

// ConcurrencyLimit returns the number of requests that may run at the backend, at least 1.
// zoneShare is the fraction of its capacity that the zone is given. recentlyStarted says
// that requests which an earlier incarnation of this sidecar admitted may still be running:
// then the limit is half as high. (DESIGN 15.2)
func (e Endpoint) ConcurrencyLimit(zoneShare float64, recentlyStarted bool, now time.Time) int64 {
	bearable := float64(e.Capacity) * e.ShareAt(now) * zoneShare
	if recentlyStarted {
		bearable /= 2
	}
	return max(1, int64(bearable))
}
