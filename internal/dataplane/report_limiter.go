package dataplane

import "time"

// reportInterval is how far apart the heartbeats are, at least, that a new configuration
// hastens. Each goes to every core, so that of changes that come ten a second they would
// be most of what is sent. (ours)
const reportInterval = 250 * time.Millisecond

// reportLimiter decides when a new configuration's being in force is told to the cores. It
// is a decision value that one thread owns. (DESIGN 8.3)
type reportLimiter struct {
	lastReport time.Time
	pending    bool
}

// changed notes that a configuration came into force; true if that is told at once.
func (r *reportLimiter) changed(now time.Time) bool {
	r.pending = true
	return r.tick(now)
}

// tick is true if what came meanwhile is told now.
func (r *reportLimiter) tick(now time.Time) bool {
	if !r.pending || now.Sub(r.lastReport) < reportInterval {
		return false
	}
	r.lastReport, r.pending = now, false
	return true
}
