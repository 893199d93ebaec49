package dataplane

import "time"

// reportInterval is the shortest time between the heartbeats that new configurations cause.
// Each goes to every control plane replica, so that with ten changes a second they would be
// most of what is sent. (ours)
const reportInterval = 250 * time.Millisecond

// reportLimiter decides when to report to the control plane that a new configuration is in
// force. One goroutine owns it. (DESIGN 8.3)
type reportLimiter struct {
	lastReport time.Time
	pending    bool
}

// changed notes that a configuration came into force; true if that is to be reported now.
func (r *reportLimiter) changed(now time.Time) bool {
	r.pending = true
	return r.tick(now)
}

// tick is true if a pending report is due; it then counts as made.
func (r *reportLimiter) tick(now time.Time) bool {
	if !r.pending || now.Sub(r.lastReport) < reportInterval {
		return false
	}
	r.lastReport, r.pending = now, false
	return true
}
