package endpoints

import (
	"cmp"
	"time"

	"curlewwalk/internal/membership"
)

// Endpoint is a backend on the local machine, as stored in a Registry. CapacityShare is the share
// of the capacity that other nodes use for routing. ShareAt returns the share that applies on this
// node.
type Endpoint struct {
	membership.Backend
	// LastHeartbeat is the arrival time of the latest announcement, by the monotonic clock.
	LastHeartbeat time.Time
	// announcedShare is the fraction of its capacity that the backend could use at LastHeartbeat.
	// The fraction rises to 1 over warmupRamp.
	announcedShare float64
	warmupRamp     time.Duration
	// warmAt is the time at which the backend is no longer limited to the warm-up rate of its
	// service.
	warmAt time.Time
	// sequence is the sequence number of the latest announcement.
	sequence uint64
	// confirmed means that more than one announcement of the backend has arrived. A single
	// announcement may be stale.
	confirmed bool
	// Admission admits requests to the backend. Successive registries share it, so that the count of
	// open requests survives a change of the registry.
	Admission *AdmissionController
}

// Supersedes reports whether the backend's latest announcement was sent after the given one, which
// is then stale. It returns false for announcements without a sequence number.
func (e Endpoint) Supersedes(a Announcement) bool { return a.Sequence != 0 && a.Sequence < e.sequence }

// ShareAt returns the fraction of its capacity that the backend can use at a time.
func (e Endpoint) ShareAt(now time.Time) float64 {
	share := cmp.Or(e.announcedShare, e.CapacityShare)
	if e.warmupRamp <= 0 {
		return share
	}
	progress := min(1, float64(now.Sub(e.LastHeartbeat))/float64(e.warmupRamp))
	return share + (1-share)*progress
}

// WarmingUp reports whether the backend is still limited to the warm-up rate of its service.
func (e Endpoint) WarmingUp(now time.Time) bool { return now.Before(e.warmAt) }

// WarmupPolicy tells which rates limit the backends that are, or may be, warming up.
type WarmupPolicy interface {
	// WarmupRate returns the rate of a service in requests per second, or zero if it has none.
	WarmupRate(service string) float64
	// MayBeCold reports whether a backend may be warming up although its last announcement does not
	// say so.
	MayBeCold(zone, service string, now time.Time) bool
}

// WarmupLimit returns the warm-up rate of the backend's service, in requests per second, or zero if
// it has none, and whether the rate applies to the backend now.
func (e Endpoint) WarmupLimit(policy WarmupPolicy, now time.Time) (rate float64, limited bool) {
	rate = policy.WarmupRate(e.Service)
	return rate, rate > 0 && (e.WarmingUp(now) || policy.MayBeCold(e.Zone, e.Service, now))
}

// ConcurrencyLimit returns the number of requests that may run at the backend, at least 1.
// zoneShare is the fraction of its capacity that the zone may use. recentlyStarted means that
// requests admitted by an earlier incarnation of this sidecar may still be running; the limit is
// then halved. An incarnation is one run of the sidecar's process. (DESIGN 15.2)
func (e Endpoint) ConcurrencyLimit(zoneShare float64, recentlyStarted bool, now time.Time) int64 {
	usable := float64(e.Capacity) * e.ShareAt(now) * zoneShare
	if recentlyStarted {
		usable /= 2
	}
	return max(1, int64(usable))
}
