// Package retrybudget keeps the contracts: what may be spent on extra attempts.
// (DESIGN 15)
package retrybudget

import "sync/atomic"

// The price of an extra attempt, and what each first attempt earns, in thousandths.
const (
	attemptCost      = 1000
	earnedPerAttempt = 200 // a fifth
)

// Budget is one sidecar's means for extra attempts to one service. It holds no more
// than its cap and starts empty, so over any stretch of time the extra attempts are
// at most a fifth of the first ones plus the cap. (DESIGN 15.1)
type Budget struct{ balance, limit atomic.Int64 }

// Deposit takes a first attempt.
func (b *Budget) Deposit() {
	for {
		old := b.balance.Load()
		next := min(old+earnedPerAttempt, b.limit.Load())
		if next <= old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// TryWithdraw pays for an extra attempt, if there is enough. What is above the cap, since
// it has shrunk, is lost.
func (b *Budget) TryWithdraw() bool {
	for {
		old := b.balance.Load()
		balance := min(old, b.limit.Load())
		if balance < attemptCost {
			return false
		}
		if b.balance.CompareAndSwap(old, balance-attemptCost) {
			return true
		}
	}
}
