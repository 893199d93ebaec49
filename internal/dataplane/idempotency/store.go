package idempotency

import (
	"context"
	"time"
)

// Store makes a Table available to concurrent requests. The goroutine that calls Run owns the
// table, and the methods pass their operations to it. T is the type of a response.
type Store[T any] struct {
	responseSize func(T) int
	operations   chan operation[T]
}

// operation runs on the goroutine that owns the table. now is the time since Run was called.
type operation[T any] func(table *Table[T], now time.Duration)

// NewStore returns an empty store. responseSize returns the size of a response in bytes. The
// methods of the store block until Run is called.
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

// execute passes an operation to Run. It reports whether Run accepted the operation before
// ctx ended.
func (s *Store[T]) execute(ctx context.Context, do operation[T]) bool {
	select {
	case s.operations <- do:
		return true
	case <-ctx.Done():
		return false
	}
}

// Reserve attempts to reserve a key. While the first request with the key is executing,
// Reserve blocks until that request ends or ctx ends. If ctx ends first, the error is
// ctx.Err(). In that case, the decision is Replay if the request was waiting for a response,
// and TableFull if Run had not accepted the operation.
func (s *Store[T]) Reserve(ctx context.Context, key Key, fingerprint Fingerprint) (Decision, T, error) {
	var none T
	for {
		results := make(chan Result[T], 1)
		accepted := s.execute(ctx, func(table *Table[T], now time.Duration) {
			table.Reserve(key, fingerprint, now, func(result Result[T]) { results <- result })
		})
		if !accepted {
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

// Complete stores the response of a request whose decision was Proceed, and delivers the
// response to the request's replays.
func (s *Store[T]) Complete(ctx context.Context, key Key, response T) {
	s.execute(ctx, func(table *Table[T], now time.Duration) { table.Complete(key, response, now) })
}

// Release ends the reservation of a request whose decision was Proceed, but which was
// certainly not executed. A replay may then be executed.
func (s *Store[T]) Release(ctx context.Context, key Key) {
	s.execute(ctx, func(table *Table[T], _ time.Duration) { table.Release(key) })
}

// Restore adds a completed reservation that an earlier incarnation of this node made, unless
// the key is already reserved.
func (s *Store[T]) Restore(ctx context.Context, key Key, fingerprint Fingerprint, response T) {
	s.execute(ctx, func(table *Table[T], now time.Duration) { table.Restore(key, fingerprint, response, now) })
}
