package dataplane

import (
	"slices"
	"sync/atomic"
	"time"
)

// acknowledgeTimeout is the maximum time for which the acknowledgment of a departure is
// delayed until a control plane replica has stored the departure. After it, the departure is
// acknowledged even if no replica has stored it.
const acknowledgeTimeout = 250 * time.Millisecond

// pendingDepartures holds departures of own backends that have not been acknowledged. A
// departure is acknowledged once a control plane replica has stored it, so that the departure
// survives this process. After acknowledgeTimeout, the departure is acknowledged in any case.
// Only the agent's actor may call the methods. (DESIGN 9.1)
type pendingDepartures struct {
	pending []pendingDeparture
	// nonEmpty reports to other goroutines whether any departure is pending.
	nonEmpty atomic.Bool
}

// pendingDeparture is a departure that has not been acknowledged.
type pendingDeparture struct {
	// version is the first version of the endpoint registry that contains the departure.
	version     uint64
	deadline    time.Time
	acknowledge func()
}

// add delays the acknowledgment of a departure until the given version has been stored.
func (p *pendingDepartures) add(version uint64, now time.Time, acknowledge func()) {
	p.pending = append(p.pending, pendingDeparture{version: version, deadline: now.Add(acknowledgeTimeout), acknowledge: acknowledge})
	p.nonEmpty.Store(true)
}

// replicated acknowledges the departures that are contained in the given version of this
// node, which a control plane replica has stored.
func (p *pendingDepartures) replicated(version uint64) {
	p.release(func(departure pendingDeparture) bool { return departure.version <= version })
}

// expire acknowledges the departures that have been pending for acknowledgeTimeout.
func (p *pendingDepartures) expire(now time.Time) {
	p.release(func(departure pendingDeparture) bool { return !now.Before(departure.deadline) })
}

// release acknowledges and removes the departures for which due returns true.
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
