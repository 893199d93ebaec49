package causality

import (
	"context"
	"time"

	"curlewwalk/internal/trace"
)

// Tracker makes a Correlator available to concurrent requests. The goroutine that calls Run
// owns the correlator. After Run has returned, requests are no longer tracked and calls are
// no longer linked.
type Tracker struct {
	begins chan OpenRequest
	ends   chan trace.ID
	links  chan linkQuery
	// done is closed when Run returns.
	done chan struct{}
}

// linkQuery requests the cause of a call.
type linkQuery struct {
	service, route string
	carried        trace.Span
	// remaining is the time that the call has left, if the call may be a request from a
	// client. Otherwise it is nil.
	remaining *time.Duration
	at        time.Time
	reply     chan Cause
}

// NewTracker returns a tracker. The methods of the tracker block until Run is called.
func NewTracker() *Tracker {
	return &Tracker{begins: make(chan OpenRequest), ends: make(chan trace.ID), links: make(chan linkQuery), done: make(chan struct{})}
}

// Run processes the calls of the other methods until ctx ends.
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

// Begin adds an open request. It must be called before the first byte of the request is sent
// to the backend.
func (t *Tracker) Begin(ctx context.Context, request OpenRequest) {
	select {
	case t.begins <- request:
	case <-t.done:
	case <-ctx.Done():
	}
}

// End removes an open request after the backend has answered. It takes no context, because a
// request must be removed even if its context has ended.
func (t *Tracker) End(id trace.ID) {
	select {
	case t.ends <- id:
	case <-t.done:
	}
}

// Link returns the cause of a call; see Correlator.Link. If ctx ends first, the call is not
// linked.
func (t *Tracker) Link(ctx context.Context, service, route string, carried trace.Span) Cause {
	return t.ask(ctx, linkQuery{service: service, route: route, carried: carried})
}

// LinkMixed returns the cause of a request that may come either from a client or from the own
// backend; see Correlator.LinkMixed. If ctx ends first, the request is not linked.
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

// answer runs the query. It must be called on the goroutine that owns the correlator.
func (q linkQuery) answer(correlator *Correlator) Cause {
	if q.remaining != nil {
		return correlator.LinkMixed(q.service, q.route, q.carried, *q.remaining, q.at)
	}
	return correlator.Link(q.service, q.route, q.carried, q.at)
}
