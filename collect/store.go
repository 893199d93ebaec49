// Package collect keeps finished spans on the cores and puts whole trees
// together. (DESIGN 2.6)
package collect

import (
	"context"

	"curlewwalk/trace"
	"curlewwalk/wire"
)

// The kinds on the wire.
const (
	KindPublish = "publish"
	KindTrace   = "trace"
)

const (
	mostTraces = 20000 // (ours)
	mostEvents = 2000  // in one trace (ours)
)

// Batch is what a worker publishes.
type Batch struct {
	Events []trace.Event `msgpack:"e"`
}

// Taken is the receipt of a batch.
type Taken struct {
	N int `msgpack:"n"`
}

// Query asks for what a core has of a trace.
type Query struct {
	Trace trace.TraceID `msgpack:"t"`
}

// Store runs the bounded store of events by trace.
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

// Run owns the store until ctx ends. When it is full the oldest trace goes.
func (s *Store) Run(ctx context.Context) {
	traces := map[trace.TraceID][]trace.Event{}
	var order []trace.TraceID
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-s.in:
			for _, e := range batch {
				have, ok := traces[e.Trace]
				if !ok {
					order = append(order, e.Trace)
				}
				if len(have) < mostEvents {
					traces[e.Trace] = append(have, e)
				}
			}
			for len(order) > mostTraces {
				delete(traces, order[0])
				order = order[1:]
			}
		case q := <-s.ask:
			q.reply <- append([]trace.Event(nil), traces[q.id]...)
		}
	}
}

// Publish handles a batch.
func (s *Store) Publish(ctx context.Context, in wire.Inquiry) (any, string) {
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

// Trace handles a query.
func (s *Store) Trace(ctx context.Context, in wire.Inquiry) (any, string) {
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
