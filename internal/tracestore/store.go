package tracestore

import (
	"context"
	"errors"
	"slices"

	"curlewwalk/internal/trace"
	"curlewwalk/internal/transport"
)

// Kinds of requests that a Store handles.
const (
	KindPublish = "publish"
	KindTrace   = "trace"
)

// Batch is a list of events. A sidecar publishes events in batches. A Batch is also the response to
// a Query.
type Batch struct {
	Events []trace.Event `msgpack:"e"`
}

// PublishReply is the response to a published Batch.
type PublishReply struct {
	// Stored is the number of received events. It includes events that the store drops because
	// their trace already has maxEvents events.
	Stored int `msgpack:"n"`
}

// Query requests the events of a trace that a replica stores.
type Query struct {
	Trace trace.TraceID `msgpack:"t"`
}

// Store holds the events of the newest traces in bounded memory. The goroutine of Run owns the
// table of the store. Requests block until Run is called or their context ends.
type Store struct {
	batches chan []trace.Event
	lookups chan lookup
}

// lookup requests the events of a trace from the goroutine of Run.
type lookup struct {
	id       trace.TraceID
	response chan []trace.Event
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{batches: make(chan []trace.Event), lookups: make(chan lookup)}
}

// Run processes the requests to the store until ctx ends.
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

// Error replies to a Batch or a Query. Their texts are part of the protocol.
var (
	errNotBatch = errors.New("not a batch")
	errNotQuery = errors.New("not a query")
	errStopping = errors.New("stopping") // the context of the request ended before Run received it
)

// HandlePublish stores a Batch and replies with a PublishReply.
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

// HandleQuery replies to a Query with a Batch.
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
