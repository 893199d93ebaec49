package retrybudget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// globalTTL is the time for which the counts over all nodes are valid. They are requested every
	// 2 s, and two consecutive requests may be lost.
	globalTTL = 6 * time.Second
	// maxSpendDivisor is the divisor of the remaining budget that gives the maximum lateness
	// planned for one request, so that the last of the budget is spent slowly.
	maxSpendDivisor = 100
)

// LatencyBudgets holds the latency budgets of a node by contract. They are computed from the counts
// of its own requests, and from the counts over all nodes that the control plane last sent.
// LatencyBudgets is safe for concurrent use. (DESIGN 15.3)
type LatencyBudgets struct {
	start  time.Time
	global atomic.Pointer[globalCounts]

	// mu guards local.
	mu    sync.Mutex
	local map[string]*rollingWindow
}

// globalCounts holds the counts over all nodes, by contract.
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

// Observe counts a request of a contract that has ended. duration, target and deadline are measured
// from the arrival of the request. A request that was not answered counts with the maximum
// lateness.
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

// Local returns this node's counts by contract, for the control plane.
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

// SetGlobal sets the counts over all nodes, as sent by the control plane.
func (b *LatencyBudgets) SetGlobal(counts map[string]Counts) {
	b.global.Store(&globalCounts{counts: counts, receivedAt: time.Now()})
}

// Totals returns the counts over all nodes by contract, and true. If those are unknown or too old,
// it returns the counts of this node, and false.
func (b *LatencyBudgets) Totals() (totals map[string]Counts, complete bool) {
	if global := b.global.Load(); time.Since(global.receivedAt) < globalTTL {
		return global.counts, true
	}
	return b.Local(), false
}

// AllowedLateness returns by how much a request may be planned to exceed its latency target.
// maxLateness is the contract's deadline minus the target.
func (b *LatencyBudgets) AllowedLateness(contract string, maxLateness time.Duration) time.Duration {
	totals, _ := b.Totals()
	return min(maxLateness, max(0, totals[contract].Remaining(maxLateness)/maxSpendDivisor))
}
