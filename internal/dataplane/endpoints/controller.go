package endpoints

import (
	"context"
	"sync"
	"time"
)

// AdmissionController is a backend's line with those who stand in it.
type AdmissionController struct {
	mu      sync.Mutex
	queue   AdmissionQueue
	limiter SlowStartLimiter
	waiters map[uint64]chan bool
	start   time.Time
}

// NewAdmissionController makes an empty desk.
func NewAdmissionController() *AdmissionController {
	return &AdmissionController{waiters: map[uint64]chan bool{}, start: time.Now()}
}

// Outstanding is how many requests run or wait.
func (c *AdmissionController) Outstanding() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Len()
}

// Acquire asks for a place at the backend, and waits for it if the line says so.
// done must be called when the run has ended, and be told whether it was stopped; without
// done, back tells when to come again. limit is asked at each change.
func (c *AdmissionController) Acquire(ctx context.Context, request QueueRequest, limit func() int64) (done func(stopped bool), retryAfter time.Duration) {
	c.mu.Lock()
	decision, id, retryAfter, transition := c.queue.Enqueue(request, limit(), time.Since(c.start))
	var granted chan bool
	if decision == Wait {
		granted = make(chan bool, 1)
		c.waiters[id] = granted
	}
	c.notify(transition)
	c.mu.Unlock()
	if decision == Reject {
		return nil, retryAfter
	}
	if decision == Wait && !c.wait(ctx, id, granted) {
		return nil, 0
	}
	startedAt := time.Now()
	return func(stopped bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		now := time.Since(c.start)
		if stopped {
			c.notify(c.queue.Cancel(limit(), now))
			return
		}
		c.notify(c.queue.Finish(request.Route, time.Since(startedAt), limit(), now))
	}, 0
}

// AllowWarmup lets an attempt in to a cold backend, of a rate a second, or tells when to come
// again. up is how long the sidecar has been up.
func (c *AdmissionController) AllowWarmup(rate float64, up time.Duration) (ok bool, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.Allow(rate, time.Since(c.start), up)
}

// wait waits for the turn; false if it was refused or its time is over.
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
	return <-granted // it was told in the meantime
}

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
