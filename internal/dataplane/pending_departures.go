package dataplane

import (
	"slices"
	"sync/atomic"
	"time"
)

// acknowledgeTimeout is how long a departure waits at most for a control plane replica to
// store it, before it is acknowledged all the same. (ours)
const acknowledgeTimeout = 250 * time.Millisecond

// pendingDepartures are departures of own backends that are not acknowledged yet. Each is
// acknowledged once a control plane replica has stored it, so that it outlives this process. They
// belong to the agent's actor. (DESIGN 9.1)
type pendingDepartures struct {
	pending []pendingDeparture
	// nonEmpty tells other goroutines whether there are any.
	nonEmpty atomic.Bool
}

// pendingDeparture is one of them.
type pendingDeparture struct {
	// version is that of the first endpoint registry with the departure.
	version     uint64
	deadline    time.Time
	acknowledge func()
}

// add puts the acknowledgment of a departure off until the version has been stored.
func (p *pendingDepartures) add(version uint64, now time.Time, acknowledge func()) {
	p.pending = append(p.pending, pendingDeparture{version: version, deadline: now.Add(acknowledgeTimeout), acknowledge: acknowledge})
	p.nonEmpty.Store(true)
}

// replicated acknowledges the departures that a control plane replica has stored with a
// version of this node.
func (p *pendingDepartures) replicated(version uint64) {
	p.release(func(departure pendingDeparture) bool { return departure.version <= version })
}

// expire acknowledges the departures that have waited for acknowledgeTimeout.
func (p *pendingDepartures) expire(now time.Time) {
	p.release(func(departure pendingDeparture) bool { return !now.Before(departure.deadline) })
}

// release acknowledges and removes those that are due.
func (p *pendingDepartures) release(due func(departure pendingDeparture) bool) {
	p.pending = slices.DeleteFunc(p.pending, func(departure pendingDeparture) bool {
		if !due(departure) {
			return false
		}
		departure.acknowledge()
		return true
	})
	p.nonEmpty.Store(len(p.pending) > 0)
}
