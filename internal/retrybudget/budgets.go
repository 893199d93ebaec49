package retrybudget

import (
	"sync"
	"sync/atomic"
	"time"
)

// newsFor is how long sums that a core told are worth something: they are asked for
// every 2 s, and two askings in a row may be lost.
const newsFor = 6 * time.Second // (ours)

// Budgets are a node's running budgets by contract: its own window, and the
// sums over all nodes as a core last told them. (DESIGN 15.3)
type Budgets struct {
	mu    sync.Mutex
	own   map[string]*window
	start time.Time
	all   atomic.Pointer[told]
}

type told struct {
	sums map[string]Tally
	at   time.Time
}

// NewBudgets makes empty budgets.
func NewBudgets() *Budgets {
	b := &Budgets{own: map[string]*window{}, start: time.Now()}
	b.all.Store(&told{})
	return b
}

// Ended takes a request that has ended. One that was not answered is as late
// as can be.
func (b *Budgets) Ended(contract string, took, aim, deadline time.Duration, answered bool) {
	late := min(max(0, took-aim), deadline-aim)
	if !answered {
		late = deadline - aim
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.own[contract]
	if w == nil {
		w = &window{}
		b.own[contract] = w
	}
	t := w.turn(time.Since(b.start))
	t.N, t.Late = t.N+1, t.Late+late
}

// Own is this node's own tally by contract, to be told to the cores.
func (b *Budgets) Own() map[string]Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Tally{}
	for name, w := range b.own {
		if t := w.sum(time.Since(b.start)); t.N > 0 {
			out[name] = t
		}
	}
	return out
}

// Hear takes the sums over all nodes.
func (b *Budgets) Hear(sums map[string]Tally) { b.all.Store(&told{sums: sums, at: time.Now()}) }

// Sums are the sums over all nodes, or, without news of them, the own share;
// whole tells which.
func (b *Budgets) Sums() (sums map[string]Tally, whole bool) {
	if t := b.all.Load(); time.Since(t.at) < newsFor {
		return t.sums, true
	}
	return b.Own(), false
}

// Patience is how much later than its aim a request may be planned to end: a
// hundredth of what is left, so that the last of it is spent slowly.
func (b *Budgets) Patience(contract string, room time.Duration) time.Duration {
	sums, _ := b.Sums()
	return min(room, max(0, sums[contract].Left(room)/100))
}

// Merge sums the nodes' newest tallies.
func Merge(nodes []map[string]Tally) map[string]Tally {
	out := map[string]Tally{}
	for _, n := range nodes {
		for name, t := range n {
			out[name] = out[name].Plus(t)
		}
	}
	return out
}
