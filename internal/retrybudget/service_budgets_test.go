package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Over any 10 s, and whatever the traffic does, all sidecars together make at
// most a fifth of it plus the allowance in extra attempts: through bursts, a sudden
// drop, restarts of sidecars, and nodes that come and go in their views.
func TestExtraAttemptsOverAnyWindow(t *testing.T) {
	const window = 10 * time.Second
	for _, size := range []int{1, 3, 13, 60} {
		for seed := range uint64(6) {
			rng := rand.New(rand.NewPCG(seed, uint64(size)))
			var names []string
			for i := range size {
				names = append(names, fmt.Sprintf("node-%d", i))
			}
			base := time.Now()
			retryBudgets := make([]*ServiceBudgets, size)
			fresh := func(i int) {
				retryBudgets[i] = NewServiceBudgets(names[i], DefaultAllowance)
				retryBudgets[i].SetNodes(names, base)
			}
			for i := range size {
				fresh(i)
			}
			type attempt struct {
				at    time.Duration
				extra bool
			}
			var attempts []attempt
			extras := 0
			rate := 400
			for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
				if now == 20*time.Second {
					rate = 5 // a sudden drop
				}
				if now == 40*time.Second {
					rate = 800
				}
				i := rng.IntN(size)
				if rng.IntN(300) == 0 {
					fresh(i) // a restart
				}
				if rng.IntN(50) == 0 && size > 1 { // a node misses another for a while
					retryBudgets[i].SetNodes(names[:size-1], base.Add(now))
				} else {
					retryBudgets[i].SetNodes(names, base.Add(now))
				}
				for range rng.IntN(rate/25 + 1) {
					i := rng.IntN(size)
					retryBudgets[i].Deposit("s")
					attempts = append(attempts, attempt{at: now})
					for range 3 { // everything fails, and is tried again at once
						if retryBudgets[i].TryWithdraw("s") {
							attempts = append(attempts, attempt{at: now, extra: true})
							extras++
						}
					}
				}
			}
			if extras == 0 && size <= DefaultAllowance {
				t.Errorf("%d nodes: no extra leg at all", size)
			}
			first, extra, from := 0, 0, 0
			for _, l := range attempts {
				if l.extra {
					extra++
				} else {
					first++
				}
				for l.at-attempts[from].at > window {
					if attempts[from].extra {
						extra--
					} else {
						first--
					}
					from++
				}
				if float64(extra) > 0.2*float64(first)+DefaultAllowance {
					t.Fatalf("%d nodes, seed %d: %d extra legs and %d first ones in 10 s up to %v", size, seed, extra, first, l.at)
				}
			}
		}
	}
}
