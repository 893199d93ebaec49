// Package tracestore is the trace collector of a core: it stores the events of finished
// spans and builds the tree of a trace. (DESIGN 2.6)
package tracestore

import (
	"context"
	"slices"

	"curlewwalk/internal/trace"
	"curlewwalk/internal/transport"
)

// Message kinds on the wire.
const (
	KindPublish = "publish"
	KindTrace   = "trace"
)

// Batch is a number of events that a sidecar publishes at once.
type Batch struct {
	Events []trace.Event `msgpack:"e"`
}

// Taken is the response to a batch: how many events were stored.
type Taken struct {
	N int `msgpack:"n"`
}

// Query asks a core for the events that it has of a trace.
type Query struct {
	Trace trace.TraceID `msgpack:"t"`
}

// Store is a bounded store of events by trace, owned by the goroutine of Run.
type Store struct {
	in  chan []trace.Event
	ask chan question
}

type question struct {
	id    trace.TraceID
	reply chan []trace.Event
}

// NewStore makes a store.
func NewStore() *Store {
	return &Store{in: make(chan []trace.Event), ask: make(chan question)}
}

// Run serves the store until ctx ends.
func (s *Store) Run(ctx context.Context) {
	kept := newTraces()
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-s.in:
			kept.add(batch)
		case q := <-s.ask:
			q.reply <- slices.Clone(kept.byID[q.id])
		}
	}
}

// Publish handles a Batch from the wire.
func (s *Store) Publish(ctx context.Context, in transport.Request) (any, string) {
	var b Batch
	if !in.Into(&b) {
		return nil, "not a batch"
	}
	select {
	case s.in <- b.Events:
		return Taken{N: len(b.Events)}, ""
	case <-ctx.Done():
		return nil, "stopping"
	}
}

// Trace handles a Query from the wire.
func (s *Store) Trace(ctx context.Context, in transport.Request) (any, string) {
	var q Query
	if !in.Into(&q) {
		return nil, "not a query"
	}
	w := question{id: q.Trace, reply: make(chan []trace.Event, 1)}
	select {
	case s.ask <- w:
		return Batch{Events: <-w.reply}, ""
	case <-ctx.Done():
		return nil, "stopping"
	}
}
