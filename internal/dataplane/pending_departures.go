package dataplane

import (
	"slices"
	"sync/atomic"
	"time"
)

// acknowledgeTimeout is how long a word of leaving waits at most for a core to hold it, before it is
// acknowledged all the same. (ours)
const acknowledgeTimeout = 250 * time.Millisecond

// pendingDepartures are words of leaving that are not acknowledged yet: each is once a core holds
// it, so that it outlives this process. The steward's thread owns them. (DESIGN 9.1)
type pendingDepartures struct {
	pending []pendingDeparture
	// nonEmpty tells other threads whether there are any.
	nonEmpty atomic.Bool
}

// pendingDeparture is one of them; rev is that of the first roster that has it.
type pendingDeparture struct {
	version     uint64
	deadline    time.Time
	acknowledge func()
}

// add holds a word.
func (p *pendingDepartures) add(version uint64, now time.Time, acknowledge func()) {
	p.pending = append(p.pending, pendingDeparture{version: version, deadline: now.Add(acknowledgeTimeout), acknowledge: acknowledge})
	p.nonEmpty.Store(true)
}

// replicated acknowledges the words that a core holds, which has the node in a revision.
func (p *pendingDepartures) replicated(version uint64) {
	p.release(func(departure pendingDeparture) bool { return departure.version <= version })
}

// expire acknowledges the words that have waited long enough.
func (p *pendingDepartures) expire(now time.Time) {
	p.release(func(departure pendingDeparture) bool { return !now.Before(departure.deadline) })
}

func (p *pendingDepartures) release(due func(departure pendingDeparture) bool) {
	p.pending = slices.DeleteFunc(p.pending, func(departure pendingDeparture) bool {
		if due(departure) {
			departure.acknowledge()
			return true
		}
		return false
	})
	p.nonEmpty.Store(len(p.pending) > 0)
}
