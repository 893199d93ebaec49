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

// Client is a client on one machine. It sends at a rate, whatever comes back.
type Client struct {
	Name string
	// Zone is where its machine stands.
	Zone    string
	Address string // the sidecar's requests address
	Rate    float64
	Plans   []RequestPlan
	Ledger  *ledger.Ledger
	HTTP    *http.Client
	Seed    uint64
	// Retries is how often it asks again at once after a refusal.
	Retries int

	// Keyed gives each request an Idempotency-Key and repeats it, under the same
	// key, until something is known of it.
	Keyed bool
	// Repeats counts those.
	Repeats atomic.Int64
	// OnAnswer, if set, hears of each answer and how long it took.
	OnAnswer func(p RequestPlan, a ledger.Answered, took time.Duration)
	sequence atomic.Int64
	rng      *rand.Rand
}

// SendOne sends one request of a plan.
func (c *Client) SendOne(ctx context.Context, p RequestPlan) ledger.Answered {
	start := time.Now()
	var answer ledger.Answered
	id := func() string { return fmt.Sprintf("%s-%d", c.Name, c.sequence.Add(1)) }
	if c.Keyed {
		answer = c.sendKeyed(ctx, p, id())
	}
	for i := 0; i <= c.Retries && !c.Keyed; i++ {
		if answer = sendRequest(ctx, c.HTTP, c.Ledger, c.Address, p, "", c.Zone, "", id(), ""); answer.Outcome != "not-run" {
			break
		}
	}
	if c.OnAnswer != nil {
		c.OnAnswer(p, answer, time.Since(start))
	}
	return answer
}

// sendKeyed sends one request under a key until something is known of it.
func (c *Client) sendKeyed(ctx context.Context, p RequestPlan, id string) (a ledger.Answered) {
	for i := range 200 {
		a = sendRequest(ctx, c.HTTP, c.Ledger, c.Address, p, "", c.Zone, "", id, "key of "+id)
		if a.Outcome == "" || a.Outcome == "unknown" && a.Status != http.StatusServiceUnavailable {
			break
		}
		if i > 0 {
			sleep(ctx, 20*time.Millisecond)
		}
		c.Repeats.Add(1)
	}
	return a
}

// Run sends until ctx ends and returns when all answers are in.
func (c *Client) Run(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	next := time.NewTimer(c.nextInterval())
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(c.nextInterval())
			p := c.PickPlan()
			open.Go(func() { c.SendOne(ctx, p) })
		}
	}
}

// nextInterval draws the time to the next request: clients do not keep step with each other.
func (c *Client) nextInterval() time.Duration {
	return time.Duration(c.random().ExpFloat64() * float64(time.Second) / c.Rate)
}

// random is the caller's own source of chance.
func (c *Client) random() *rand.Rand {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(c.Seed, 1))
	}
	return c.rng
}

// PickPlan draws a plan by its share. One goroutine at a time may call it.
func (c *Client) PickPlan() RequestPlan { return pickPlan(c.Plans, c.random().Float64()) }
