package fakes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"curlewwalk/tests/ledger"
)

// Caller is a client on one machine. It sends at a rate, whatever comes back.
type Caller struct {
	Name string
	// Zone is where its machine stands.
	Zone   string
	Addr   string // the sidecar's requests address
	Rate   float64
	Plans  []Plan
	Ledger *ledger.Ledger
	Client *http.Client
	Seed   uint64
	// Retry is how often it asks again at once after a refusal.
	Retry int

	// Keyed gives each request an Idempotency-Key and repeats it, under the same
	// key, until something is known of it.
	Keyed bool
	// Repeats counts those.
	Repeats atomic.Int64
	// Saw, if set, hears of each answer and how long it took.
	Saw    func(p Plan, a ledger.Answered, took time.Duration)
	serial atomic.Int64
	rng    *rand.Rand
}

// Once sends one request of a plan.
func (c *Caller) Once(ctx context.Context, p Plan) ledger.Answered {
	start := time.Now()
	var a ledger.Answered
	id := func() string { return fmt.Sprintf("%s-%d", c.Name, c.serial.Add(1)) }
	if c.Keyed {
		a = c.repeat(ctx, p, id())
	}
	for i := 0; i <= c.Retry && !c.Keyed; i++ {
		if a = send(ctx, c.Client, c.Ledger, c.Addr, p, "", c.Zone, "", id(), ""); a.Outcome != "not-run" {
			break
		}
	}
	if c.Saw != nil {
		c.Saw(p, a, time.Since(start))
	}
	return a
}

// repeat sends one request under a key until something is known of it.
func (c *Caller) repeat(ctx context.Context, p Plan, id string) (a ledger.Answered) {
	for i := range 200 {
		a = send(ctx, c.Client, c.Ledger, c.Addr, p, "", c.Zone, "", id, "key of "+id)
		if a.Outcome == "" || a.Outcome == "unknown" && a.Status != http.StatusServiceUnavailable {
			break
		}
		if i > 0 {
			wait(ctx, 20*time.Millisecond)
		}
		c.Repeats.Add(1)
	}
	return a
}

// Run sends until ctx ends and returns when all answers are in.
func (c *Caller) Run(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	next := time.NewTimer(c.gap())
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(c.gap())
			p := c.Pick()
			open.Go(func() { c.Once(ctx, p) })
		}
	}
}

// gap draws the time to the next request: clients do not keep step with each other.
func (c *Caller) gap() time.Duration {
	return time.Duration(c.draw().ExpFloat64() * float64(time.Second) / c.Rate)
}

// draw is the caller's own source of chance.
func (c *Caller) draw() *rand.Rand {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(c.Seed, 1))
	}
	return c.rng
}

// Pick draws a plan by its share. One goroutine at a time may call it.
func (c *Caller) Pick() Plan { return pick(c.Plans, c.draw().Float64()) }
