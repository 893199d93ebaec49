package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"curlewwalk/proof/ledger"
)

// Caller is a client on one machine. It sends at a rate, whatever comes back.
type Caller struct {
	Name string
	// Locality is where its machine stands.
	Locality string
	Addr     string // the sidecar's inquiries address
	Rate     float64
	Plans    []Plan
	Ledger   *ledger.Ledger
	Client   *http.Client
	Seed     uint64
	// Retry is how often it asks again at once after a refusal.
	Retry int

	// Saw, if set, hears of each answer and how long it took.
	Saw    func(p Plan, a ledger.Answered, took time.Duration)
	serial atomic.Int64
	rng    *rand.Rand
}

// Once sends one inquiry of a plan.
func (c *Caller) Once(ctx context.Context, p Plan) ledger.Answered {
	start := time.Now()
	var a ledger.Answered
	for range c.Retry + 1 {
		a = send(ctx, c.Client, c.Ledger, c.Addr, p, "", c.Locality, "", fmt.Sprintf("%s-%d", c.Name, c.serial.Add(1)))
		if a.Outcome != "not-run" {
			break
		}
	}
	if c.Saw != nil {
		c.Saw(p, a, time.Since(start))
	}
	return a
}

// Run sends until ctx ends and returns when all answers are in.
func (c *Caller) Run(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p := c.Pick()
			open.Go(func() { c.Once(ctx, p) })
		}
	}
}

// Pick draws a plan by its share. One goroutine at a time may call it.
func (c *Caller) Pick() Plan {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(c.Seed, 1))
	}
	x := c.rng.Float64()
	var last Plan
	for _, p := range c.Plans {
		if p.Share == 0 {
			continue
		}
		last = p
		if x -= p.Share; x < 0 {
			break
		}
	}
	return last
}
