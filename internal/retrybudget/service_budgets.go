package retrybudget

import (
	"maps"
	"sync/atomic"
	"time"

	"curlewwalk/internal/rendezvous"
)

// DefaultAllowance is the allowance where the settings give none.
const DefaultAllowance = 20 // (ours)

// shrinkDelay is how long a smaller number of nodes is not acted on: one that was lost may
// have spent its share within the last 10 s, the time over which retries are bounded.
const shrinkDelay = 12 * time.Second // (ours)

// ServiceBudgets are a sidecar's retry budgets by service. All sidecars together may make
// allowance retries to a service beyond a fifth of its traffic, and share them equally. All
// methods but SetNodes are safe for concurrent use, also with it.
type ServiceBudgets struct {
	ownAddr   string
	allowance int
	// budgets is replaced, never changed, to add a service.
	budgets atomic.Pointer[map[string]*Budget]
	// nodes are the addresses of the sidecars that share the allowance.
	nodes atomic.Pointer[[]string]
	// largestCount is the largest number of nodes lately, as of largestAt.
	largestCount int
	largestAt    time.Time
}

// NewServiceBudgets returns the retry budgets of the sidecar at ownAddr, which has the whole
// allowance until SetNodes is called.
func NewServiceBudgets(ownAddr string, allowance int) *ServiceBudgets {
	s := &ServiceBudgets{ownAddr: ownAddr, allowance: allowance}
	s.budgets.Store(&map[string]*Budget{})
	s.nodes.Store(&[]string{ownAddr})
	return s
}

// SetNodes sets the addresses of the sidecars that share the allowance, the own one among
// them. It is to be called at every heartbeat, by one goroutine.
func (s *ServiceBudgets) SetNodes(nodes []string, now time.Time) {
	if len(nodes) >= s.largestCount || now.Sub(s.largestAt) > shrinkDelay {
		s.largestCount, s.largestAt = len(nodes), now
		s.nodes.Store(&nodes)
	}
	for service, budget := range *s.budgets.Load() {
		budget.limit.Store(s.limit(service))
	}
}

// limit returns the limit of a service's budget, in thousandths of an attempt: an equal
// share of the allowance. If that is less than one attempt, as many nodes as the allowance
// has attempts get one, chosen by rendezvous hashing, and the others none.
func (s *ServiceBudgets) limit(service string) int64 {
	nodes := *s.nodes.Load()
	if len(nodes) <= s.allowance {
		return int64(s.allowance) * attemptCost / int64(max(1, len(nodes)))
	}
	for i, node := range rendezvous.Rank(service, nodes, func(node string) string { return node }) {
		if i == s.allowance {
			break
		}
		if node == s.ownAddr {
			return attemptCost
		}
	}
	return 0
}

// budget returns the budget of a service, and adds it if there is none.
func (s *ServiceBudgets) budget(service string) *Budget {
	for {
		old := s.budgets.Load()
		if budget, ok := (*old)[service]; ok {
			return budget
		}
		budget := &Budget{}
		budget.limit.Store(s.limit(service))
		next := maps.Clone(*old)
		next[service] = budget
		s.budgets.CompareAndSwap(old, &next)
	}
}

// Deposit adds what a first attempt to a service earns.
func (s *ServiceBudgets) Deposit(service string) { s.budget(service).Deposit() }

// TryWithdraw pays for a retry to a service, and reports whether the balance was enough.
func (s *ServiceBudgets) TryWithdraw(service string) bool { return s.budget(service).TryWithdraw() }

// Balances returns the balance of each service's budget, in attempts.
func (s *ServiceBudgets) Balances() map[string]float64 {
	balances := map[string]float64{}
	for service, budget := range *s.budgets.Load() {
		balances[service] = float64(budget.balance.Load()) / attemptCost
	}
	return balances
}
