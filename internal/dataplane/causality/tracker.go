package causality

import (
	"context"
	"time"

	"curlewwalk/internal/trace"
)

// Tracker runs a Book. Its loop is the only one to touch it.
type Tracker struct {
	begins chan OpenRequest
	ends   chan trace.ID
	links  chan query
	// done is closed when Run has ended: from then on nothing is noted or known.
	done chan struct{}
}

type query struct {
	service, route string
	carried        trace.Span
	// remaining is the time left that it tells; set if it may be a client's.
	remaining *time.Duration
	at        time.Time
	reply     chan Cause
}

// NewTracker makes a keeper.
func NewTracker() *Tracker {
	return &Tracker{begins: make(chan OpenRequest), ends: make(chan trace.ID), links: make(chan query), done: make(chan struct{})}
}

// Run owns the book until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	defer close(t.done)
	correlator := NewCorrelator()
	for {
		select {
		case request := <-t.begins:
			correlator.Begin(request)
		case id := <-t.ends:
			correlator.End(id)
		case q := <-t.links:
			if q.remaining != nil {
				q.reply <- correlator.LinkMixed(q.service, q.route, q.carried, *q.remaining, q.at)
			} else {
				q.reply <- correlator.Link(q.service, q.route, q.carried, q.at)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Begin opens a request before its first byte goes to the backend.
func (t *Tracker) Begin(ctx context.Context, request OpenRequest) {
	select {
	case t.begins <- request:
	case <-t.done:
	case <-ctx.Done():
	}
}

// End closes it once the backend has answered. It is not bound by the request's own
// context, since a request that was given up on has to be closed as well.
func (t *Tracker) End(id trace.ID) {
	select {
	case t.ends <- id:
	case <-t.done:
	}
}

// Link ties an outgoing call.
func (t *Tracker) Link(ctx context.Context, service, route string, carried trace.Span) Cause {
	return t.send(ctx, query{service: service, route: route, carried: carried})
}

// LinkMixed ties what may be a client's request as well as an outgoing call.
func (t *Tracker) LinkMixed(ctx context.Context, service, route string, carried trace.Span, remaining time.Duration) Cause {
	return t.send(ctx, query{service: service, route: route, carried: carried, remaining: &remaining})
}

func (t *Tracker) send(ctx context.Context, q query) Cause {
	q.at, q.reply = time.Now(), make(chan Cause, 1)
	select {
	case t.links <- q:
		return <-q.reply
	case <-t.done:
		return Cause{}
	case <-ctx.Done():
		return Cause{}
	}
}
