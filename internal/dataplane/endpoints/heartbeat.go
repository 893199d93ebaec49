package endpoints

import "time"

// DefaultHeartbeatInterval is how often backends announce themselves if the settings don't
// say otherwise.
const DefaultHeartbeatInterval = 500 * time.Millisecond // (ours)

// HeartbeatPolicy derives the bounds on silent backends from the interval at which backends
// announce themselves.
type HeartbeatPolicy struct {
	// Interval is DefaultHeartbeatInterval if it is not positive.
	Interval time.Duration
}

// Freshness is how old the latest announcement of a backend may be if it is to get
// requests. The address of a backend that has ended passes to another service after about
// 2 s.
func (p HeartbeatPolicy) Freshness() time.Duration { return 3 * p.interval() }

// DiscoveryDelay is how long after its start a sidecar has received an announcement of each
// backend that is there.
func (p HeartbeatPolicy) DiscoveryDelay() time.Duration { return 2 * p.interval() }

// RemoveAfter is how long a silent backend stays in the registry.
func (p HeartbeatPolicy) RemoveAfter() time.Duration { return 10 * p.interval() }

func (p HeartbeatPolicy) interval() time.Duration {
	if p.Interval <= 0 {
		return DefaultHeartbeatInterval
	}
	return p.Interval
}
