package idempotency

import (
	"context"
	"time"
)

// Store makes a Table available to concurrent requests: the goroutine of Run owns the
// table, and the methods hand their operations to it. T is the type of a response.
type Store[T any] struct {
	responseSize func(T) int
	operations   chan operation[T]
}

// operation is executed on the table by the goroutine that owns it. now is the time since
// that goroutine started.
type operation[T any] func(table *Table[T], now time.Duration)

// NewStore returns an empty store; responseSize tells the size of a response in bytes.
// The methods block until Run is called.
func NewStore[T any](responseSize func(T) int) *Store[T] {
	return &Store[T]{responseSize: responseSize, operations: make(chan operation[T])}
}

// Run executes operations on the table until ctx ends.
func (s *Store[T]) Run(ctx context.Context) {
	table := NewTable(s.responseSize)
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-s.operations:
			do(table, time.Since(start))
		}
	}
}

// execute hands an operation to Run and reports whether it was taken before ctx ended.
func (s *Store[T]) execute(ctx context.Context, do operation[T]) bool {
	select {
	case s.operations <- do:
		return true
	case <-ctx.Done():
		return false
	}
}

// Reserve asks for the reservation of a key. While the first request of the key is
// executed, it waits for that request's response, until ctx ends: then the error is
// ctx.Err(), and the decision is Replay if the request was waiting for a response and
// TableFull if the table was never asked.
func (s *Store[T]) Reserve(ctx context.Context, key Key, fingerprint Fingerprint) (Decision, T, error) {
	var none T
	for {
		results := make(chan Result[T], 1)
		asked := s.execute(ctx, func(table *Table[T], now time.Duration) {
			table.Reserve(key, fingerprint, now, func(result Result[T]) { results <- result })
		})
		if !asked {
			return TableFull, none, ctx.Err()
		}
		select {
		case result := <-results:
			if !result.Retry {
				return result.Decision, result.Response, nil
			}
		case <-ctx.Done():
			return Replay, none, ctx.Err()
		}
	}
}

// Complete ends a reservation whose decision was Proceed, with the response for its replays.
func (s *Store[T]) Complete(ctx context.Context, key Key, response T) {
	s.execute(ctx, func(table *Table[T], now time.Duration) { table.Complete(key, response, now) })
}

// Release ends a reservation whose decision was Proceed, but whose request was certainly not
// executed: a replay may be.
func (s *Store[T]) Release(ctx context.Context, key Key) {
	s.execute(ctx, func(table *Table[T], _ time.Duration) { table.Release(key) })
}

// Restore adds a completed reservation that an earlier incarnation of this node made,
// unless the key is reserved already.
func (s *Store[T]) Restore(ctx context.Context, key Key, fingerprint Fingerprint, response T) {
	s.execute(ctx, func(table *Table[T], now time.Duration) { table.Restore(key, fingerprint, response, now) })
}
