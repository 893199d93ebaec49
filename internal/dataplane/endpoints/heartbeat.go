package endpoints

import "time"

// DefaultHeartbeatInterval is the interval of backend announcements if the settings define none.
const DefaultHeartbeatInterval = 500 * time.Millisecond

// HeartbeatPolicy derives the timeouts for silent backends from the announcement interval. These
// heartbeats go from a backend to its sidecar. The heartbeats between processes are those of
// package membership.
type HeartbeatPolicy struct {
	// Interval is the announcement interval. If it is not positive, DefaultHeartbeatInterval
	// applies.
	Interval time.Duration
}

// Freshness returns the maximum age of the latest announcement of a backend that may receive
// requests. The maximum age is 1.5 s at DefaultHeartbeatInterval. That is below 2 s because the
// address of a stopped backend passes to another service after about 2 s.
func (p HeartbeatPolicy) Freshness() time.Duration { return 3 * p.interval() }

// DiscoveryDelay returns the time after the start of a sidecar by which it has received an
// announcement from each running backend.
func (p HeartbeatPolicy) DiscoveryDelay() time.Duration { return 2 * p.interval() }

// RemoveAfter returns the time after which a silent backend is removed from the registry.
func (p HeartbeatPolicy) RemoveAfter() time.Duration { return 10 * p.interval() }

func (p HeartbeatPolicy) interval() time.Duration {
	if p.Interval <= 0 {
		return DefaultHeartbeatInterval
	}
	return p.Interval
}
