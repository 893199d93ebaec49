package endpoints

import (
	"context"
	"sync"
	"time"
)

// AdmissionController admits requests to one backend. It makes the backend's AdmissionQueue and
// SlowStartLimiter safe for concurrent use.
type AdmissionController struct {
	mu      sync.Mutex
	queue   AdmissionQueue
	limiter SlowStartLimiter
	// waiters maps the ID of each waiting request to the channel that receives whether the request
	// may start.
	waiters map[uint64]chan bool
	start   time.Time
}

// NewAdmissionController returns a controller without requests.
func NewAdmissionController() *AdmissionController {
	return &AdmissionController{waiters: map[uint64]chan bool{}, start: time.Now()}
}

// Outstanding returns the number of requests that are running or waiting.
func (c *AdmissionController) Outstanding() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Len()
}

// Acquire requests a slot of the backend and, if none is free, waits in the queue until ctx ends.
// limit returns the number of slots; it is called at each change of the queue.
//
// If the request gets a slot, done is not nil. It must be called when the request has ended, with
// canceled set if the request was stopped early, so that its duration is not used for estimates.
// Without a slot, done is nil, and retryAfter is the time after which a retry may succeed. It is
// zero if that time is unknown.
func (c *AdmissionController) Acquire(ctx context.Context, request QueueRequest, limit func() int64) (done func(canceled bool), retryAfter time.Duration) {
	c.mu.Lock()
	enqueued := c.queue.Enqueue(request, limit(), time.Since(c.start))
	var granted chan bool
	if enqueued.Decision == Wait {
		granted = make(chan bool, 1)
		c.waiters[enqueued.ID] = granted
	}
	c.notify(enqueued.Transition)
	c.mu.Unlock()
	switch {
	case enqueued.Decision == Reject:
		return nil, enqueued.RetryAfter
	case enqueued.Decision == Wait && !c.wait(ctx, enqueued.ID, granted):
		return nil, 0
	}
	startedAt := time.Now()
	return func(canceled bool) { c.release(request.Route, startedAt, canceled, limit) }, 0
}

// wait blocks until the request gets a slot. It returns false if the queue rejects the request or
// ctx ends.
func (c *AdmissionController) wait(ctx context.Context, id uint64, granted chan bool) bool {
	select {
	case ok := <-granted:
		return ok
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Remove(id) {
		delete(c.waiters, id)
		return false
	}
	return <-granted // the queue has already decided on the request
}

// release ends a request that has held a slot since startedAt.
func (c *AdmissionController) release(route string, startedAt time.Time, canceled bool, limit func() int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Since(c.start)
	if canceled {
		c.notify(c.queue.Cancel(limit(), now))
		return
	}
	c.notify(c.queue.Finish(route, time.Since(startedAt), limit(), now))
}

// notify sends the decisions of a transition to the waiters. The caller must hold mu.
func (c *AdmissionController) notify(transition Transition) {
	for _, id := range transition.Started {
		c.waiters[id] <- true
		delete(c.waiters, id)
	}
	for _, id := range transition.Rejected {
		c.waiters[id] <- false
		delete(c.waiters, id)
	}
}

// CountWarm counts a request to a backend that is not warming up, so that the request counts against
// the warm-up rate if the backend turns cold within a second. rate is in requests per second; zero
// means that the service has no warm-up rate.
func (c *AdmissionController) CountWarm(rate float64) {
	if rate <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.Count(rate, time.Since(c.start))
}

// AllowWarmup reports whether a backend that is warming up may receive another request at the given
// rate, in requests per second. If not, retryAfter is the time until it may. uptime is the time
// since the sidecar started.
func (c *AdmissionController) AllowWarmup(rate float64, uptime time.Duration) (ok bool, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.Allow(rate, time.Since(c.start), uptime)
}
