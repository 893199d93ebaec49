package dataplane

import "time"

// reportEvery is how far apart the heartbeats are, at least, that a new configuration
// hastens. Each goes to every core, so that of changes that come ten a second they would
// be most of what is sent. (ours)
const reportEvery = 250 * time.Millisecond

// reportLimit decides when a new configuration's being in force is told to the cores. It
// is a decision value that one thread owns. (DESIGN 8.3)
type reportLimit struct {
	told time.Time
	due  bool
}

// changed notes that a configuration came into force; true if that is told at once.
func (r *reportLimit) changed(now time.Time) bool {
	r.due = true
	return r.tick(now)
}

// tick is true if what came meanwhile is told now.
func (r *reportLimit) tick(now time.Time) bool {
	if !r.due || now.Sub(r.told) < reportEvery {
		return false
	}
	r.told, r.due = now, false
	return true
}
