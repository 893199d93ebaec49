package retrybudget

import (
	"maps"
	"sync/atomic"
	"time"

	"curlewwalk/internal/rendezvous"
)

// Allowance is the allowance where the settings give none. (ours)
const Allowance = 20

// fewest is how long a smaller number of sharers is not believed: a node that
// was lost may have spent its share within the last 10 s.
const fewest = 12 * time.Second // (ours)

// RetryBudgets are a sidecar's retry budgets by service. The steward tells who shares the
// allowance; traffic earns and spends.
type RetryBudgets struct {
	own string
	// allowance is how many extra attempts to a service all sidecars together may make
	// beyond a fifth of its traffic.
	allowance int
	table     atomic.Pointer[map[string]*RetryBudget]
	sharer    atomic.Pointer[[]string]
	// most is the largest number of sharers lately.
	most  int
	since time.Time
}

// NewRetryBudgets makes the retry budgets of a node.
func NewRetryBudgets(own string, allowance int) *RetryBudgets {
	p := &RetryBudgets{own: own, allowance: allowance}
	p.table.Store(&map[string]*RetryBudget{})
	p.sharer.Store(&[]string{own})
	return p
}

// Share tells which nodes share the allowance now. One thread calls it, at
// every beat.
func (p *RetryBudgets) Share(nodes []string, now time.Time) {
	if len(nodes) >= p.most || now.Sub(p.since) > fewest {
		p.most, p.since = len(nodes), now
		p.sharer.Store(&nodes)
	}
	for service, x := range *p.table.Load() {
		x.limit.Store(p.limit(service))
	}
}

// limit is how much the retry budget of a service may hold: an equal share, or, where
// that would be less than one attempt, a whole one for the first in the agreed
// order and none for the others.
func (p *RetryBudgets) limit(service string) int64 {
	nodes := *p.sharer.Load()
	if len(nodes) <= p.allowance {
		return int64(p.allowance) * price / int64(max(1, len(nodes)))
	}
	for i, n := range rendezvous.Rank(service, nodes, func(n string) string { return n }) {
		if i == p.allowance {
			break
		}
		if n == p.own {
			return price
		}
	}
	return 0
}

func (p *RetryBudgets) retryBudget(service string) *RetryBudget {
	for {
		old := p.table.Load()
		if x, ok := (*old)[service]; ok {
			return x
		}
		next := maps.Clone(*old)
		x := &RetryBudget{}
		x.limit.Store(p.limit(service))
		next[service] = x
		p.table.CompareAndSwap(old, &next)
	}
}

// Earn takes a first attempt to a service.
func (p *RetryBudgets) Earn(service string) { p.retryBudget(service).Earn() }

// Spend pays for an extra attempt to a service, if there is enough.
func (p *RetryBudgets) Spend(service string) bool { return p.retryBudget(service).Spend() }

// Held shows what each retry budget holds, in attempts.
func (p *RetryBudgets) Held() map[string]float64 {
	out := map[string]float64{}
	for k, v := range *p.table.Load() {
		out[k] = float64(v.held.Load()) / price
	}
	return out
}
