package causality

import (
	"context"
	"time"

	"curlewwalk/internal/trace"
)

// Tracker makes a Correlator available to concurrent requests: the goroutine of Run owns the
// correlator. Once Run has ended, nothing is tracked, and no call is linked.
type Tracker struct {
	begins chan OpenRequest
	ends   chan trace.ID
	links  chan linkQuery
	// done is closed when Run has ended.
	done chan struct{}
}

// linkQuery asks for the cause of a call.
type linkQuery struct {
	service, route string
	carried        trace.Span
	// remaining is the time that the call says it has left, if it may be a client's
	// request; else nil.
	remaining *time.Duration
	at        time.Time
	reply     chan Cause
}

// NewTracker returns a tracker. Its methods block until Run is called.
func NewTracker() *Tracker {
	return &Tracker{begins: make(chan OpenRequest), ends: make(chan trace.ID), links: make(chan linkQuery), done: make(chan struct{})}
}

// Run owns the correlator until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	defer close(t.done)
	correlator := NewCorrelator()
	for {
		select {
		case request := <-t.begins:
			correlator.Begin(request)
		case id := <-t.ends:
			correlator.End(id)
		case query := <-t.links:
			query.reply <- query.answer(correlator)
		case <-ctx.Done():
			return
		}
	}
}

// Begin adds an open request. It is to be called before the first byte of the request goes
// to the backend.
func (t *Tracker) Begin(ctx context.Context, request OpenRequest) {
	select {
	case t.begins <- request:
	case <-t.done:
	case <-ctx.Done():
	}
}

// End removes an open request once the backend has answered. It takes no context, since a
// request whose context has ended must be removed as well.
func (t *Tracker) End(id trace.ID) {
	select {
	case t.ends <- id:
	case <-t.done:
	}
}

// Link returns the cause of a call; see Correlator.Link. If ctx ends first, nothing is
// linked.
func (t *Tracker) Link(ctx context.Context, service, route string, carried trace.Span) Cause {
	return t.ask(ctx, linkQuery{service: service, route: route, carried: carried})
}

// LinkMixed returns the cause of what may be a client's request as well as a call; see
// Correlator.LinkMixed. If ctx ends first, nothing is linked.
func (t *Tracker) LinkMixed(ctx context.Context, service, route string, carried trace.Span, remaining time.Duration) Cause {
	return t.ask(ctx, linkQuery{service: service, route: route, carried: carried, remaining: &remaining})
}

func (t *Tracker) ask(ctx context.Context, query linkQuery) Cause {
	query.at, query.reply = time.Now(), make(chan Cause, 1)
	select {
	case t.links <- query:
		return <-query.reply
	case <-t.done:
		return Cause{}
	case <-ctx.Done():
		return Cause{}
	}
}

// answer is called by the goroutine that owns the correlator.
func (q linkQuery) answer(correlator *Correlator) Cause {
	if q.remaining != nil {
		return correlator.LinkMixed(q.service, q.route, q.carried, *q.remaining, q.at)
	}
	return correlator.Link(q.service, q.route, q.carried, q.at)
}
