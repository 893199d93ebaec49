package retrybudget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// globalTTL is how long the counts over all nodes are used: they are asked for every
	// 2 s, and two requests in a row may be lost.
	globalTTL = 6 * time.Second // (ours)
	// spentPerRequest is the inverse of the fraction of the remaining budget that one
	// request may be planned to spend, so that the last of it is spent slowly.
	spentPerRequest = 100 // (ours)
)

// LatencyBudgets are the latency budgets of a node by contract: from the counts of its own
// requests, and from those over all nodes as the control plane last sent them. They are
// safe for concurrent use. (DESIGN 15.3)
type LatencyBudgets struct {
	start  time.Time
	global atomic.Pointer[globalCounts]

	// mu guards local.
	mu    sync.Mutex
	local map[string]*rollingWindow
}

// globalCounts are the counts over all nodes, by contract.
type globalCounts struct {
	counts     map[string]Counts
	receivedAt time.Time
}

// NewLatencyBudgets returns budgets without requests.
func NewLatencyBudgets() *LatencyBudgets {
	b := &LatencyBudgets{local: map[string]*rollingWindow{}, start: time.Now()}
	b.global.Store(&globalCounts{})
	return b
}

// Observe counts a request of a contract that has ended, by its duration and the contract's
// latency target and deadline, all since the request's arrival. One that was not answered
// counts as late as can be.
func (b *LatencyBudgets) Observe(contract string, duration, target, deadline time.Duration, answered bool) {
	lateness := min(max(0, duration-target), deadline-target)
	if !answered {
		lateness = deadline - target
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	window := b.local[contract]
	if window == nil {
		window = &rollingWindow{}
		b.local[contract] = window
	}
	bucket := window.advance(time.Since(b.start))
	*bucket = bucket.Add(Counts{Requests: 1, Lateness: lateness})
}

// Local returns this node's own counts by contract, for the control plane.
func (b *LatencyBudgets) Local() map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	local := map[string]Counts{}
	for contract, window := range b.local {
		if counts := window.total(time.Since(b.start)); counts.Requests > 0 {
			local[contract] = counts
		}
	}
	return local
}

// SetGlobal sets the counts over all nodes, as the control plane sent them.
func (b *LatencyBudgets) SetGlobal(counts map[string]Counts) {
	b.global.Store(&globalCounts{counts: counts, receivedAt: time.Now()})
}

// Totals returns the counts over all nodes by contract, or, if they are not known or too
// old, the own ones; complete tells which.
func (b *LatencyBudgets) Totals() (totals map[string]Counts, complete bool) {
	if global := b.global.Load(); time.Since(global.receivedAt) < globalTTL {
		return global.counts, true
	}
	return b.Local(), false
}

// AllowedLateness returns by how much a request may be planned to end past its latency
// target. maxLateness is the contract's deadline less the target.
func (b *LatencyBudgets) AllowedLateness(contract string, maxLateness time.Duration) time.Duration {
	totals, _ := b.Totals()
	return min(maxLateness, max(0, totals[contract].Remaining(maxLateness)/spentPerRequest))
}
