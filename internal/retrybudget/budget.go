package retrybudget

import "sync/atomic"

// Balances are in thousandths of an attempt.
const (
	attemptCost = 1000
	// earnedPerAttempt is what each first attempt earns: a fifth of a retry.
	earnedPerAttempt = 200
)

// Budget bounds one sidecar's retries to one service. Each first attempt deposits a fifth
// of a retry, up to the limit, and the balance is zero at the start: so the retries in any
// time are at most a fifth of the first attempts plus the limit. It is safe for concurrent
// use. (DESIGN 15.1)
type Budget struct{ balance, limit atomic.Int64 }

// Deposit adds what a first attempt earns.
func (b *Budget) Deposit() {
	for {
		old := b.balance.Load()
		next := min(old+earnedPerAttempt, b.limit.Load())
		if next <= old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// TryWithdraw pays for a retry, and reports whether the balance was enough. What is above
// the limit, because that has fallen, is lost.
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
