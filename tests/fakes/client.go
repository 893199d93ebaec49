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

// Client is an open-loop client on one machine: it sends requests at a fixed mean rate,
// independent of the answers.
type Client struct {
	Name    string
	Zone    string  // zone of the machine
	Address string  // address for requests at the sidecar of the machine
	Rate    float64 // mean rate in requests per second
	Plans   []RequestPlan
	Ledger  *ledger.Ledger
	HTTP    *http.Client
	Seed    uint64
	// Retries is the maximum number of immediate retries after a refusal as not run.
	Retries int
	// Keyed makes the client give each request an idempotency key and resend it with that key until
	// its outcome is known.
	Keyed bool
	// Repeats counts the resends with an idempotency key.
	Repeats atomic.Int64
	// OnAnswer, if set, is called with each answer and the time from the first send to the answer.
	// Calls may be concurrent.
	OnAnswer func(p RequestPlan, a ledger.Answered, took time.Duration)

	sequence atomic.Int64
	rng      *rand.Rand
}

// maxKeyedSends is the maximum number of sends of one request with its idempotency key.
const maxKeyedSends = 200

// SendOne sends one request of a plan, retries it as configured, and returns the last answer.
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

// sendKeyed sends one request with an idempotency key until its outcome is known.
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

// send sends one request once.
func (c *Client) send(ctx context.Context, p RequestPlan, id, key string) ledger.Answered {
	return sendRequest(ctx, c.HTTP, c.Ledger, request{address: c.Address, plan: p, zone: c.Zone, id: id, key: key})
}

// Run sends requests until ctx is done and returns when all of them have been answered.
func (c *Client) Run(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	next := time.NewTimer(c.nextInterval())
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(c.nextInterval())
			p := c.PickPlan()
			pending.Go(func() { c.SendOne(ctx, p) })
		}
	}
}

// nextInterval draws the time until the next request from an exponential distribution. The
// arrivals are a Poisson process, like those of many independent clients.
func (c *Client) nextInterval() time.Duration {
	return time.Duration(c.random().ExpFloat64() * float64(time.Second) / c.Rate)
}

// random returns the client's random source, which is created from Seed at the first call.
func (c *Client) random() *rand.Rand {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(c.Seed, 1))
	}
	return c.rng
}

// PickPlan draws a plan with a probability equal to its share. It must not be called concurrently.
func (c *Client) PickPlan() RequestPlan { return pickPlan(c.Plans, c.random().Float64()) }
