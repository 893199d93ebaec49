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

// Client is a client on one machine that sends requests at a rate, whatever the answers are.
type Client struct {
	Name    string
	Zone    string  // of its machine
	Address string  // where its sidecar takes requests
	Rate    float64 // in requests a second
	Plans   []RequestPlan
	Ledger  *ledger.Ledger
	HTTP    *http.Client
	Seed    uint64
	// Retries is how often it sends again at once after a refusal.
	Retries int
	// Keyed gives each request an idempotency key, and has it sent again under that key until
	// its outcome is known.
	Keyed bool
	// Repeats counts the requests sent again under their key.
	Repeats atomic.Int64
	// OnAnswer, if set, gets each answer and how long it took.
	OnAnswer func(p RequestPlan, a ledger.Answered, took time.Duration)

	sequence atomic.Int64
	rng      *rand.Rand
}

// maxKeyedSends bounds how often one request is sent under its key.
const maxKeyedSends = 200

// SendOne sends one request of a plan, with the retries that the client makes.
func (c *Client) SendOne(ctx context.Context, p RequestPlan) ledger.Answered {
	start := time.Now()
	var answer ledger.Answered
	id := func() string { return fmt.Sprintf("%s-%d", c.Name, c.sequence.Add(1)) }
	if c.Keyed {
		answer = c.sendKeyed(ctx, p, id())
	}
	for i := 0; i <= c.Retries && !c.Keyed; i++ {
		if answer = c.send(ctx, p, id(), ""); answer.Outcome != ledger.OutcomeNotRun {
			break
		}
	}
	if c.OnAnswer != nil {
		c.OnAnswer(p, answer, time.Since(start))
	}
	return answer
}

// sendKeyed sends one request under a key until its outcome is known.
func (c *Client) sendKeyed(ctx context.Context, p RequestPlan, id string) (a ledger.Answered) {
	for i := range maxKeyedSends {
		a = c.send(ctx, p, id, "key of "+id)
		if a.Outcome == "" || a.Outcome == ledger.OutcomeUnknown && a.Status != http.StatusServiceUnavailable {
			break
		}
		if i > 0 {
			sleep(ctx, 20*time.Millisecond)
		}
		c.Repeats.Add(1)
	}
	return a
}

// send sends one request.
func (c *Client) send(ctx context.Context, p RequestPlan, id, key string) ledger.Answered {
	return sendRequest(ctx, c.HTTP, c.Ledger, request{address: c.Address, plan: p, zone: c.Zone, id: id, key: key})
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

// nextInterval draws the time to the next request: requests come at random, as from many
// independent clients.
func (c *Client) nextInterval() time.Duration {
	return time.Duration(c.random().ExpFloat64() * float64(time.Second) / c.Rate)
}

// random is the client's own random source.
func (c *Client) random() *rand.Rand {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(c.Seed, 1))
	}
	return c.rng
}

// PickPlan draws a plan by its share. It must not be called concurrently.
func (c *Client) PickPlan() RequestPlan { return pickPlan(c.Plans, c.random().Float64()) }
