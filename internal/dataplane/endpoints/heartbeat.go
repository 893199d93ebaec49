package endpoints

import "time"

// DefaultHeartbeatInterval is how often backends announce themselves if the settings say nothing else.
const DefaultHeartbeatInterval = 500 * time.Millisecond // (ours)

// HeartbeatPolicy is how often backends announce themselves, and what follows from it.
type HeartbeatPolicy struct{ Interval time.Duration }

// Freshness is how old a backend's last beat may be for new admissions: addresses pass to
// other services after about 2 s.
func (p HeartbeatPolicy) Freshness() time.Duration { return 3 * p.interval() }

// DiscoveryDelay is how long after its start a process has heard all backends that are there:
// each announces itself once a beat, about.
func (p HeartbeatPolicy) DiscoveryDelay() time.Duration { return 2 * p.interval() }

// RemoveAfter is when a silent backend is taken off the roster.
func (p HeartbeatPolicy) RemoveAfter() time.Duration { return 10 * p.interval() }

func (p HeartbeatPolicy) interval() time.Duration {
	if p.Interval <= 0 {
		return DefaultHeartbeatInterval
	}
	return p.Interval
}
