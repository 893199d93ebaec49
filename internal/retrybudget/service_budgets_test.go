package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// retryWindow is the period over which the retries to a service are bounded.
const retryWindow = 10 * time.Second

// attempt is an attempt made by failingTraffic.
type attempt struct {
	at    time.Duration
	retry bool
}

// TestExtraAttemptsOverAnyWindow checks that in any 10 s, all sidecars together make at most as
// many retries as a fifth of the first attempts plus the allowance. The traffic includes bursts, a
// sudden drop, restarts of sidecars, and sidecars that temporarily miss another node.
func TestExtraAttemptsOverAnyWindow(t *testing.T) {
	for _, size := range []int{1, 3, 13, 60} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%d nodes, seed %d", size, seed), func(t *testing.T) {
				attempts := failingTraffic(rand.New(rand.NewPCG(seed, uint64(size))), size)
				checkRetries(t, attempts, size)
			})
		}
	}
}

// failingTraffic returns the attempts of the given number of sidecars in one minute. All attempts
// fail, and are retried immediately while the budgets allow it.
func failingTraffic(rng *rand.Rand, size int) (attempts []attempt) {
	var nodes []string
	for i := range size {
		nodes = append(nodes, fmt.Sprintf("node-%d", i))
	}
	base := time.Now()
	budgets := make([]*ServiceBudgets, size)
	start := func(i int) {
		budgets[i] = NewServiceBudgets(nodes[i], DefaultAllowance)
		budgets[i].SetNodes(nodes, base)
	}
	for i := range size {
		start(i)
	}
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
			start(i) // a restart
		}
		if rng.IntN(50) == 0 && size > 1 { // a node temporarily misses another
			budgets[i].SetNodes(nodes[:size-1], base.Add(now))
		} else {
			budgets[i].SetNodes(nodes, base.Add(now))
		}
		for range rng.IntN(rate/25 + 1) {
			i := rng.IntN(size)
			budgets[i].Deposit("s")
			attempts = append(attempts, attempt{at: now})
			for range 3 {
				if budgets[i].TryWithdraw("s") {
					attempts = append(attempts, attempt{at: now, retry: true})
				}
			}
		}
	}
	return attempts
}

// checkRetries checks the bound in each window that ends with an attempt. It also checks that there
// are retries if each node has a share of the allowance.
func checkRetries(t *testing.T, attempts []attempt, size int) {
	t.Helper()
	total, first, retries, oldest := 0, 0, 0, 0
	count := func(a attempt, by int) {
		if a.retry {
			retries += by
		} else {
			first += by
		}
	}
	for _, a := range attempts {
		count(a, 1)
		if a.retry {
			total++
		}
		for a.at-attempts[oldest].at > retryWindow {
			count(attempts[oldest], -1)
			oldest++
		}
		if float64(retries) > 0.2*float64(first)+DefaultAllowance {
			t.Fatalf("got %d retries for %d first attempts in the %v up to %v, want at most a fifth plus the allowance", retries, first, retryWindow, a.at)
		}
	}
	if total == 0 && size <= DefaultAllowance {
		t.Error("got no retries, want at least one")
	}
}
