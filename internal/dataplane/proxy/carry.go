package proxy

import (
	"context"
	"time"

	"curlewwalk/internal/dataplane/causality"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/trace"
)

// carry brings an attempt through the line and the gate to its backend.
func (f *Far) carry(ctx context.Context, attempt Attempt, span trace.Span) AttemptResponse {
	if f.Draining() {
		return f.refuse(ctx, &attempt, endpoints.NodeDraining, 0)
	}
	size := int64(len(attempt.Body))
	if !f.Bodies.Take(size) {
		rc := f.refuse(ctx, &attempt, endpoints.BackendFull, 0)
		rc.Back = time.Second
		return rc
	}
	defer f.Bodies.Give(size)
	e, why := f.check(ctx, &attempt)
	if why != endpoints.Admitted {
		return f.refuse(ctx, &attempt, why, 0)
	}
	done, back := e.Admission.Acquire(ctx, attempt.bid(), f.limitFor(ctx, &attempt, e))
	if done == nil {
		rc := f.refuse(ctx, &attempt, turnedAway(ctx), e.Admission.Outstanding())
		rc.Back = back
		return rc
	}
	defer func() { done(refusalOf(ctx) == endpoints.Canceled) }()
	if !f.ledger.ask(ctx, f.ledger.begin, attempt.ID) {
		if ctx.Err() != nil {
			return f.refuse(ctx, &attempt, refusalOf(ctx), 0)
		}
		return AttemptResponse{ID: attempt.ID, Fate: routing.Unknown, Reason: "this leg came before"}
	}
	f.Lineage.Begin(ctx, causality.OpenRequest{Span: span, Service: attempt.Service, Route: attempt.Route, Priority: attempt.Rank, StartedAt: time.Now(), Deadline: deadline(ctx)})
	defer f.Lineage.End(span.ID)
	return f.deliver(ctx, e, &attempt, span)
}

// refuse answers an attempt that is not to run. It is proven not to run unless it came
// before, and was begun.
func (f *Far) refuse(ctx context.Context, attempt *Attempt, why endpoints.Rejection, open int64) AttemptResponse {
	rc := AttemptResponse{ID: attempt.ID, Fate: routing.NotRun, Reason: string(why), Open: int(open)}
	if !f.ledger.ask(context.WithoutCancel(ctx), f.ledger.refuse, attempt.ID) {
		rc.Fate = routing.Unknown // it came before, and was begun
	}
	return rc
}

// turnedAway tells why an attempt has left a line without its turn.
func turnedAway(ctx context.Context) endpoints.Rejection {
	if ended := refusalOf(ctx); ended != endpoints.DeadlineExpired {
		return ended
	}
	return endpoints.BackendFull
}

// bid is what an attempt asks of a line.
func (l *Attempt) bid() endpoints.QueueRequest {
	return endpoints.QueueRequest{Priority: l.Rank, Route: l.Route, Remaining: min(l.Left, l.Aim), LateRemaining: l.late()}
}

// limitFor tells, whenever it is asked, how many requests an attempt's backend may run: the
// newest beat tells what it can bear.
func (f *Far) limitFor(ctx context.Context, attempt *Attempt, e endpoints.Endpoint) func() int64 {
	return func() int64 {
		now, why := f.check(ctx, attempt)
		if why != endpoints.Admitted {
			now = e
		}
		return f.Limit(now, time.Now())
	}
}

// deliver puts a begun attempt to its backend, if the gate lets the first byte through.
func (f *Far) deliver(ctx context.Context, e endpoints.Endpoint, attempt *Attempt, span trace.Span) AttemptResponse {
	var free time.Duration // when a cold backend may bear the next
	g := &guard{check: func() endpoints.Rejection {
		now, why := f.check(ctx, attempt)
		if why == endpoints.Admitted && now.Address != e.Address {
			why = endpoints.UnknownBackend
		}
		if rate, cold := f.cold(now, time.Now()); cold && why == endpoints.Admitted {
			if ok, back := e.Admission.AllowWarmup(rate, time.Since(f.started)); !ok {
				free, why = back, endpoints.BackendFull
			}
		}
		return why
	}}
	rc := f.exchange(ctx, e, attempt, span, g)
	if rc.Fate == routing.Unknown && g.shut() {
		rc.Fate = routing.NotRun
		if why := g.why.Load(); why != nil {
			rc.Reason, rc.Back = string(*why), free
		}
	}
	rc.ID, rc.Open, rc.Reached = attempt.ID, int(e.Admission.Outstanding()), g.state.Load() == guardWrote
	return rc
}
