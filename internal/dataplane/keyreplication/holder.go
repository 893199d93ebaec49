package keyreplication

import (
	"context"
	"sync/atomic"
	"time"

	"curlewwalk/internal/transport"
)

// Holder runs Holdings. Its loop is the only one to touch them.
type Holder struct {
	do            chan func(h *Holdings, now time.Duration)
	held, settled atomic.Int64
}

// NewHolder makes a holder.
func NewHolder() *Holder { return &Holder{do: make(chan func(*Holdings, time.Duration))} }

// Run owns the holdings until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	held, start := NewHoldings(), time.Now()
	for {
		select {
		case do := <-h.do:
			do(held, time.Since(start))
			n, settled := held.Count()
			h.held.Store(int64(n))
			h.settled.Store(int64(settled))
		case <-ctx.Done():
			return
		}
	}
}

// Count is how many claims are held for others, and how many of them with a
// response.
func (h *Holder) Count() (held, settled int64) { return h.held.Load(), h.settled.Load() }

// answer has the loop answer a call whose body is a Q.
func answer[Q, A any](h *Holder, fn func(held *Holdings, q Q, now time.Duration) A) transport.Handler {
	return func(ctx context.Context, in transport.Request) (any, string) {
		var q Q
		if !in.Into(&q) {
			return nil, "not of this kind"
		}
		back := make(chan A, 1)
		select {
		case h.do <- func(held *Holdings, now time.Duration) { back <- fn(held, q, now) }:
			return <-back, ""
		case <-ctx.Done():
			return nil, "stopping"
		}
	}
}

// Handlers answer the calls of owners.
func (h *Holder) Handlers() map[string]transport.Handler {
	return map[string]transport.Handler{
		KindHold: answer(h, func(held *Holdings, e Entry, now time.Duration) Held { return held.Take(e, now) }),
		KindRelease: answer(h, func(held *Holdings, e Entry, _ time.Duration) Held {
			held.Release(e)
			return Held{Taken: true}
		}),
		KindHandover: answer(h, func(held *Holdings, q Handover, now time.Duration) Handed { return held.Handover(q, now) }),
	}
}
