package retrybudget

import (
	"sync"
	"sync/atomic"
	"time"
)

// globalTTL is how long sums that a core told are worth something: they are asked for
// every 2 s, and two askings in a row may be lost.
const globalTTL = 6 * time.Second // (ours)

// LatencyBudgets are a node's running budgets by contract: its own window, and the
// sums over all nodes as a core last told them. (DESIGN 15.3)
type LatencyBudgets struct {
	mu     sync.Mutex
	local  map[string]*rollingWindow
	start  time.Time
	global atomic.Pointer[globalCounts]
}

type globalCounts struct {
	counts     map[string]Counts
	receivedAt time.Time
}

// NewLatencyBudgets makes empty budgets.
func NewLatencyBudgets() *LatencyBudgets {
	b := &LatencyBudgets{local: map[string]*rollingWindow{}, start: time.Now()}
	b.global.Store(&globalCounts{})
	return b
}

// Observe takes a request that has ended. One that was not answered is as late
// as can be.
func (b *LatencyBudgets) Observe(contract string, duration, target, deadline time.Duration, answered bool) {
	lateness := min(max(0, duration-target), deadline-target)
	if !answered {
		lateness = deadline - target
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.local[contract]
	if w == nil {
		w = &rollingWindow{}
		b.local[contract] = w
	}
	t := w.advance(time.Since(b.start))
	t.Requests, t.Lateness = t.Requests+1, t.Lateness+lateness
}

// Local is this node's own tally by contract, to be told to the cores.
func (b *LatencyBudgets) Local() map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Counts{}
	for name, w := range b.local {
		if t := w.total(time.Since(b.start)); t.Requests > 0 {
			out[name] = t
		}
	}
	return out
}

// SetGlobal takes the sums over all nodes.
func (b *LatencyBudgets) SetGlobal(sums map[string]Counts) {
	b.global.Store(&globalCounts{counts: sums, receivedAt: time.Now()})
}

// Totals are the sums over all nodes, or, without news of them, the own share;
// whole tells which.
func (b *LatencyBudgets) Totals() (totals map[string]Counts, complete bool) {
	if t := b.global.Load(); time.Since(t.receivedAt) < globalTTL {
		return t.counts, true
	}
	return b.Local(), false
}

// AllowedLateness is how much later than its aim a request may be planned to end: a
// hundredth of what is left, so that the last of it is spent slowly.
func (b *LatencyBudgets) AllowedLateness(contract string, room time.Duration) time.Duration {
	sums, _ := b.Totals()
	return min(room, max(0, sums[contract].Remaining(room)/100))
}

// Merge sums the nodes' newest tallies.
func Merge(nodes []map[string]Counts) map[string]Counts {
	out := map[string]Counts{}
	for _, n := range nodes {
		for name, t := range n {
			out[name] = out[name].Add(t)
		}
	}
	return out
}
