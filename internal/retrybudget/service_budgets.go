package retrybudget

import (
	"maps"
	"sync/atomic"
	"time"

	"curlewwalk/internal/rendezvous"
)

// DefaultAllowance is the allowance, in retries, if the settings define none.
const DefaultAllowance = 20

// shrinkDelay is the time for which a smaller number of nodes is ignored. A lost node may have
// spent its share within the last 10 s. The allowance bounds the retries over any 10 s, so the
// other nodes must not receive that share earlier.
const shrinkDelay = 12 * time.Second

// ServiceBudgets holds the retry budgets of a sidecar by service. All sidecars together may make
// allowance retries to a service beyond a fifth of its traffic, and share this allowance equally.
// All methods except SetNodes are safe for concurrent use, including concurrently with SetNodes.
type ServiceBudgets struct {
	ownAddr   string
	allowance int
	// budgets is copied and replaced when a service is added. The map is never modified.
	budgets atomic.Pointer[map[string]*Budget]
	// nodes holds the addresses of the sidecars that share the allowance.
	nodes atomic.Pointer[[]string]
	// largestCount is the largest recent number of nodes, seen at largestAt.
	largestCount int
	largestAt    time.Time
}

// NewServiceBudgets returns the retry budgets of the sidecar at ownAddr. This sidecar has the whole
// allowance until SetNodes is called.
func NewServiceBudgets(ownAddr string, allowance int) *ServiceBudgets {
	s := &ServiceBudgets{ownAddr: ownAddr, allowance: allowance}
	s.budgets.Store(&map[string]*Budget{})
	s.nodes.Store(&[]string{ownAddr})
	return s
}

// SetNodes sets the addresses of the sidecars that share the allowance, including this one. It must
// be called every membership.HeartbeatInterval, by a single goroutine. A smaller number of nodes
// takes effect only after shrinkDelay.
func (s *ServiceBudgets) SetNodes(nodes []string, now time.Time) {
	if len(nodes) >= s.largestCount || now.Sub(s.largestAt) > shrinkDelay {
		s.largestCount, s.largestAt = len(nodes), now
		s.nodes.Store(&nodes)
	}
	for service, budget := range *s.budgets.Load() {
		budget.limit.Store(s.limit(service))
	}
}

// limit returns the limit of a service's budget, in thousandths of an attempt: an equal share of
// the allowance. If the share is less than one attempt, rendezvous hashing chooses as many nodes as
// the allowance has attempts. Each chosen node gets one attempt, and the others get none.
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

// budget returns the budget of a service, and creates it if there is none.
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

// Deposit adds the deposit of a first attempt to a service.
func (s *ServiceBudgets) Deposit(service string) { s.budget(service).Deposit() }

// TryWithdraw withdraws the cost of a retry to a service, and reports whether the balance was
// sufficient.
func (s *ServiceBudgets) TryWithdraw(service string) bool { return s.budget(service).TryWithdraw() }

// Balances returns the balance of each service's budget, in attempts.
func (s *ServiceBudgets) Balances() map[string]float64 {
	balances := map[string]float64{}
	for service, budget := range *s.budgets.Load() {
		balances[service] = float64(budget.balance.Load()) / attemptCost
	}
	return balances
}
