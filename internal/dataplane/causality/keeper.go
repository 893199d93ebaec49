package causality

import (
	"context"
	"time"

	"curlewwalk/internal/trace"
)

// Keeper runs a Book. Its loop is the only one to touch it.
type Keeper struct {
	enter chan Open
	leave chan trace.ID
	links chan query
	// ended is closed when Run has ended: from then on nothing is noted or known.
	ended chan struct{}
}

type query struct {
	service, route string
	told           trace.Span
	// left is the time left that it tells; set if it may be a client's.
	left  *time.Duration
	at    time.Time
	reply chan Cause
}

// NewKeeper makes a keeper.
func NewKeeper() *Keeper {
	return &Keeper{enter: make(chan Open), leave: make(chan trace.ID), links: make(chan query), ended: make(chan struct{})}
}

// Run owns the book until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.ended)
	b := NewBook()
	for {
		select {
		case o := <-k.enter:
			b.Enter(o)
		case id := <-k.leave:
			b.Leave(id)
		case q := <-k.links:
			if q.left != nil {
				q.reply <- b.Mingled(q.service, q.route, q.told, *q.left, q.at)
			} else {
				q.reply <- b.Link(q.service, q.route, q.told, q.at)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Enter opens a request before its first byte goes to the backend.
func (k *Keeper) Enter(ctx context.Context, o Open) {
	select {
	case k.enter <- o:
	case <-k.ended:
	case <-ctx.Done():
	}
}

// Leave closes it once the backend has answered. It is not bound by the request's own
// context, since a request that was given up on has to be closed as well.
func (k *Keeper) Leave(id trace.ID) {
	select {
	case k.leave <- id:
	case <-k.ended:
	}
}

// Link ties an outgoing call.
func (k *Keeper) Link(ctx context.Context, service, route string, told trace.Span) Cause {
	return k.ask(ctx, query{service: service, route: route, told: told})
}

// Mingled ties what may be a client's request as well as an outgoing call.
func (k *Keeper) Mingled(ctx context.Context, service, route string, told trace.Span, left time.Duration) Cause {
	return k.ask(ctx, query{service: service, route: route, told: told, left: &left})
}

func (k *Keeper) ask(ctx context.Context, q query) Cause {
	q.at, q.reply = time.Now(), make(chan Cause, 1)
	select {
	case k.links <- q:
		return <-q.reply
	case <-k.ended:
		return Cause{}
	case <-ctx.Done():
		return Cause{}
	}
}
