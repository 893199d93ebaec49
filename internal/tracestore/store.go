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

// PublishReply is the response to a batch: how many events were stored.
type PublishReply struct {
	Stored int `msgpack:"n"`
}

// Query asks a core for the events that it has of a trace.
type Query struct {
	Trace trace.TraceID `msgpack:"t"`
}

// Store is a bounded store of events by trace, owned by the goroutine of Run.
type Store struct {
	batches chan []trace.Event
	lookups chan lookup
}

type lookup struct {
	id    trace.TraceID
	reply chan []trace.Event
}

// NewStore makes a store.
func NewStore() *Store {
	return &Store{batches: make(chan []trace.Event), lookups: make(chan lookup)}
}

// Run serves the store until ctx ends.
func (s *Store) Run(ctx context.Context) {
	table := newTraceTable()
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-s.batches:
			table.add(batch)
		case q := <-s.lookups:
			q.reply <- slices.Clone(table.byID[q.id])
		}
	}
}

// HandlePublish handles a Batch from the wire.
func (s *Store) HandlePublish(ctx context.Context, request transport.Request) (any, string) {
	var b Batch
	if !request.Decode(&b) {
		return nil, "not a batch"
	}
	select {
	case s.batches <- b.Events:
		return PublishReply{Stored: len(b.Events)}, ""
	case <-ctx.Done():
		return nil, "stopping"
	}
}

// HandleQuery handles a Query from the wire.
func (s *Store) HandleQuery(ctx context.Context, request transport.Request) (any, string) {
	var q Query
	if !request.Decode(&q) {
		return nil, "not a query"
	}
	pending := lookup{id: q.Trace, reply: make(chan []trace.Event, 1)}
	select {
	case s.lookups <- pending:
		return Batch{Events: <-pending.reply}, ""
	case <-ctx.Done():
		return nil, "stopping"
	}
}
