// Package idempotency keeps track of requests by their Idempotency-Key, so that a repeat
// never runs beside or after the first request: it gets that one's response.
// (DESIGN 10.3)
package idempotency

import (
	"context"
	"time"
)

// Store runs a table of claims on one goroutine; T is the type of a response.
type Store[T any] struct {
	responseSize func(T) int
	operations   chan func(t *Table[T], now time.Duration)
}

// NewStore makes the claims; size is the number of bytes that a response takes up.
func NewStore[T any](size func(T) int) *Store[T] {
	return &Store[T]{responseSize: size, operations: make(chan func(*Table[T], time.Duration))}
}

// Run owns the table until ctx ends.
func (s *Store[T]) Run(ctx context.Context) {
	table := NewTable(s.responseSize)
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case operation := <-s.operations:
			operation(table, time.Since(start))
		}
	}
}

// execute has the loop run a function; false if ctx ends first.
func (s *Store[T]) execute(ctx context.Context, operation func(t *Table[T], now time.Duration)) bool {
	select {
	case s.operations <- operation:
		return true
	case <-ctx.Done():
		return false
	}
}

// Reserve claims a key. A repeat of a request that is still running waits for its
// response; the error is that of ctx, if it ends first.
func (s *Store[T]) Reserve(ctx context.Context, key Key, fingerprint Fingerprint) (Decision, T, error) {
	var none T
	for {
		reply := make(chan Result[T], 1)
		if !s.execute(ctx, func(t *Table[T], now time.Duration) {
			t.Reserve(key, fingerprint, now, func(a Result[T]) { reply <- a })
		}) {
			return TableFull, none, ctx.Err()
		}
		select {
		case result := <-reply:
			if !result.Retry {
				return result.Decision, result.Response, nil
			}
		case <-ctx.Done():
			return Replay, none, ctx.Err()
		}
	}
}

// Complete ends a first claim; keep is false when the request surely did not run.
func (s *Store[T]) Complete(ctx context.Context, key Key, response T, keep bool) {
	s.execute(ctx, func(t *Table[T], now time.Duration) { t.Complete(key, response, keep, now) })
}

// Restore puts in a claim of an earlier incarnation of this node.
func (s *Store[T]) Restore(ctx context.Context, key Key, fingerprint Fingerprint, response T) {
	s.execute(ctx, func(t *Table[T], now time.Duration) { t.Restore(key, fingerprint, response, now) })
}
