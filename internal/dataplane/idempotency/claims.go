// Package idempotency keeps track of requests by their Idempotency-Key, so that a repeat
// never runs beside or after the first request: it gets that one's response.
// (DESIGN 10.3)
package idempotency

import (
	"context"
	"time"
)

// Claims runs a table of claims on one goroutine; T is the type of a response.
type Claims[T any] struct {
	size func(T) int
	do   chan func(t *Table[T], now time.Duration)
}

// New makes the claims; size is the number of bytes that a response takes up.
func New[T any](size func(T) int) *Claims[T] {
	return &Claims[T]{size: size, do: make(chan func(*Table[T], time.Duration))}
}

// Run owns the table until ctx ends.
func (c *Claims[T]) Run(ctx context.Context) {
	table := NewTable(c.size)
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-c.do:
			do(table, time.Since(start))
		}
	}
}

// put has the loop run a function; false if ctx ends first.
func (c *Claims[T]) put(ctx context.Context, do func(t *Table[T], now time.Duration)) bool {
	select {
	case c.do <- do:
		return true
	case <-ctx.Done():
		return false
	}
}

// Lay claims a key. A repeat of a request that is still running waits for its
// response; the error is that of ctx, if it ends first.
func (c *Claims[T]) Lay(ctx context.Context, key Key, fingerprint Print) (Verdict, T, error) {
	var none T
	for {
		reply := make(chan Answer[T], 1)
		if !c.put(ctx, func(t *Table[T], now time.Duration) {
			t.Lay(key, fingerprint, now, func(a Answer[T]) { reply <- a })
		}) {
			return Crowded, none, ctx.Err()
		}
		select {
		case got := <-reply:
			if !got.Again {
				return got.Verdict, got.Response, nil
			}
		case <-ctx.Done():
			return Repeat, none, ctx.Err()
		}
	}
}

// Finish ends a first claim; keep is false when the request surely did not run.
func (c *Claims[T]) Finish(ctx context.Context, key Key, response T, keep bool) {
	c.put(ctx, func(t *Table[T], now time.Duration) { t.Finish(key, response, keep, now) })
}

// Restore puts in a claim of an earlier incarnation of this node.
func (c *Claims[T]) Restore(ctx context.Context, key Key, fingerprint Print, response T) {
	c.put(ctx, func(t *Table[T], now time.Duration) { t.Restore(key, fingerprint, response, now) })
}
