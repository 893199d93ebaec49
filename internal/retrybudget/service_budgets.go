package retrybudget

import (
	"maps"
	"sync/atomic"
	"time"

	"curlewwalk/internal/rendezvous"
)

// DefaultAllowance is the allowance where the settings give none. (ours)
const DefaultAllowance = 20

// shrinkDelay is how long a smaller number of sharers is not believed: a node that
// was lost may have spent its share within the last 10 s.
const shrinkDelay = 12 * time.Second // (ours)

// ServiceBudgets are a sidecar's retry budgets by service. The steward tells who shares the
// allowance; traffic earns and spends.
type ServiceBudgets struct {
	ownAddr string
	// allowance is how many extra attempts to a service all sidecars together may make
	// beyond a fifth of its traffic.
	allowance int
	budgets   atomic.Pointer[map[string]*Budget]
	nodes     atomic.Pointer[[]string]
	// largestCount is the largest number of sharers lately.
	largestCount int
	largestAt    time.Time
}

// NewServiceBudgets makes the retry budgets of a node.
func NewServiceBudgets(ownAddr string, allowance int) *ServiceBudgets {
	s := &ServiceBudgets{ownAddr: ownAddr, allowance: allowance}
	s.budgets.Store(&map[string]*Budget{})
	s.nodes.Store(&[]string{ownAddr})
	return s
}

// SetNodes tells which nodes share the allowance now. One thread calls it, at
// every beat.
func (s *ServiceBudgets) SetNodes(nodes []string, now time.Time) {
	if len(nodes) >= s.largestCount || now.Sub(s.largestAt) > shrinkDelay {
		s.largestCount, s.largestAt = len(nodes), now
		s.nodes.Store(&nodes)
	}
	for service, x := range *s.budgets.Load() {
		x.limit.Store(s.limit(service))
	}
}

// limit is how much the retry budget of a service may hold: an equal share, or, where
// that would be less than one attempt, a whole one for the first in the agreed
// order and none for the others.
func (s *ServiceBudgets) limit(service string) int64 {
	nodes := *s.nodes.Load()
	if len(nodes) <= s.allowance {
		return int64(s.allowance) * attemptCost / int64(max(1, len(nodes)))
	}
	for i, n := range rendezvous.Rank(service, nodes, func(n string) string { return n }) {
		if i == s.allowance {
			break
		}
		if n == s.ownAddr {
			return attemptCost
		}
	}
	return 0
}

func (s *ServiceBudgets) budget(service string) *Budget {
	for {
		old := s.budgets.Load()
		if x, ok := (*old)[service]; ok {
			return x
		}
		next := maps.Clone(*old)
		x := &Budget{}
		x.limit.Store(s.limit(service))
		next[service] = x
		s.budgets.CompareAndSwap(old, &next)
	}
}

// Deposit takes a first attempt to a service.
func (s *ServiceBudgets) Deposit(service string) { s.budget(service).Deposit() }

// TryWithdraw pays for an extra attempt to a service, if there is enough.
func (s *ServiceBudgets) TryWithdraw(service string) bool { return s.budget(service).TryWithdraw() }

// Balances shows what each retry budget holds, in attempts.
func (s *ServiceBudgets) Balances() map[string]float64 {
	out := map[string]float64{}
	for k, v := range *s.budgets.Load() {
		out[k] = float64(v.balance.Load()) / attemptCost
	}
	return out
}
