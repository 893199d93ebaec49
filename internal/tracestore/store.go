package tracestore

import (
	"context"
	"errors"
	"slices"

	"curlewwalk/internal/trace"
	"curlewwalk/internal/transport"
)

// The kinds of requests that a Store serves.
const (
	KindPublish = "publish"
	KindTrace   = "trace"
)

// Batch is a number of events: what a sidecar publishes at once, and the response to a Query.
type Batch struct {
	Events []trace.Event `msgpack:"e"`
}

// PublishReply is the response to a published Batch.
type PublishReply struct {
	// Stored is how many events were received.
	Stored int `msgpack:"n"`
}

// Query asks a replica for the events that it has of a trace.
type Query struct {
	Trace trace.TraceID `msgpack:"t"`
}

// Store holds the events of the newest traces, in bounded memory. Its table is owned by the
// goroutine of Run; nothing is answered before Run is called.
type Store struct {
	batches chan []trace.Event
	lookups chan lookup
}

// lookup asks Run's goroutine for the events of a trace.
type lookup struct {
	id       trace.TraceID
	response chan []trace.Event
}

// NewStore makes an empty store.
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
		case l := <-s.lookups:
			l.response <- slices.Clone(table.byID[l.id])
		}
	}
}

// The errors that a Batch or a Query may be answered with. Their texts are part of the protocol.
var (
	errNotBatch = errors.New("not a batch")
	errNotQuery = errors.New("not a query")
	errStopping = errors.New("stopping")
)

// HandlePublish handles a Batch with a PublishReply.
func (s *Store) HandlePublish(ctx context.Context, request transport.Request) (any, error) {
	var batch Batch
	if !request.Decode(&batch) {
		return nil, errNotBatch
	}
	select {
	case s.batches <- batch.Events:
		return PublishReply{Stored: len(batch.Events)}, nil
	case <-ctx.Done():
		return nil, errStopping
	}
}

// HandleQuery handles a Query with a Batch.
func (s *Store) HandleQuery(ctx context.Context, request transport.Request) (any, error) {
	var query Query
	if !request.Decode(&query) {
		return nil, errNotQuery
	}
	l := lookup{id: query.Trace, response: make(chan []trace.Event, 1)}
	select {
	case s.lookups <- l:
		return Batch{Events: <-l.response}, nil
	case <-ctx.Done():
		return nil, errStopping
	}
}
