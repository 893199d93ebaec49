// Package retrybudget keeps the contracts: what may be spent on extra attempts.
// (DESIGN 15)
package retrybudget

import "sync/atomic"

// The price of an extra attempt, and what each first attempt earns, in thousandths.
const (
	price = 1000
	earns = 200 // a fifth
)

// RetryBudget is one sidecar's means for extra attempts to one service. It holds no more
// than its cap and starts empty, so over any stretch of time the extra attempts are
// at most a fifth of the first ones plus the cap. (DESIGN 15.1)
type RetryBudget struct{ held, limit atomic.Int64 }

// Earn takes a first attempt.
func (p *RetryBudget) Earn() {
	for {
		old := p.held.Load()
		next := min(old+earns, p.limit.Load())
		if next <= old || p.held.CompareAndSwap(old, next) {
			return
		}
	}
}

// Spend pays for an extra attempt, if there is enough. What is above the cap, since
// it has shrunk, is lost.
func (p *RetryBudget) Spend() bool {
	for {
		old := p.held.Load()
		have := min(old, p.limit.Load())
		if have < price {
			return false
		}
		if p.held.CompareAndSwap(old, have-price) {
			return true
		}
	}
}
