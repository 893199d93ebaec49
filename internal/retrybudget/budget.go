package retrybudget

import "sync/atomic"

// Balances are in thousandths of an attempt.
const (
	attemptCost = 1000
	// earnedPerAttempt is the deposit of each first attempt: a fifth of a retry.
	earnedPerAttempt = 200
)

// Budget bounds the retries of one sidecar to one service. Each first attempt deposits a fifth of a
// retry, up to the limit. The balance is zero at the start. The number of retries in any period is
// therefore at most a fifth of the first attempts plus the limit. A Budget is safe for concurrent
// use. (DESIGN 15.1)
type Budget struct{ balance, limit atomic.Int64 }

// Deposit adds the deposit of a first attempt.
func (b *Budget) Deposit() {
	for {
		old := b.balance.Load()
		next := min(old+earnedPerAttempt, b.limit.Load())
		if next <= old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// TryWithdraw withdraws the cost of a retry, and reports whether the balance was sufficient. A
// balance above the limit, which occurs when the limit falls, is cut to the limit.
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
