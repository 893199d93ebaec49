package proxy

import (
	"context"
	"time"

	"curlewwalk/internal/dataplane/causality"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/trace"
)

// admit brings an attempt through the line and the gate to its backend.
func (f *Inbound) admit(ctx context.Context, attempt Attempt, span trace.Span) AttemptResponse {
	if f.Draining() {
		return f.refuse(ctx, &attempt, endpoints.NodeDraining, 0)
	}
	size := int64(len(attempt.Body))
	if !f.Bodies.Reserve(size) {
		response := f.refuse(ctx, &attempt, endpoints.BackendFull, 0)
		response.RetryAfter = time.Second
		return response
	}
	defer f.Bodies.Release(size)
	e, why := f.checkAdmission(ctx, &attempt)
	if why != endpoints.Admitted {
		return f.refuse(ctx, &attempt, why, 0)
	}
	done, back := e.Admission.Acquire(ctx, attempt.admissionBid(), f.currentLimit(ctx, &attempt, e))
	if done == nil {
		response := f.refuse(ctx, &attempt, queueRefusal(ctx), e.Admission.Outstanding())
		response.RetryAfter = back
		return response
	}
	defer func() { done(refusalFor(ctx) == endpoints.Canceled) }()
	if !f.attemptLog.query(ctx, f.attemptLog.begins, attempt.ID) {
		if ctx.Err() != nil {
			return f.refuse(ctx, &attempt, refusalFor(ctx), 0)
		}
		return AttemptResponse{ID: attempt.ID, Outcome: routing.Unknown, Reason: "this leg came before"}
	}
	f.Causality.Begin(ctx, causality.OpenRequest{Span: span, Service: attempt.Service, Route: attempt.Route, Priority: attempt.Priority, StartedAt: time.Now(), Deadline: deadline(ctx)})
	defer f.Causality.End(span.ID)
	return f.forward(ctx, e, &attempt, span)
}

// refuse answers an attempt that is not to run. It is proven not to run unless it came
// before, and was begun.
func (f *Inbound) refuse(ctx context.Context, attempt *Attempt, why endpoints.Rejection, open int64) AttemptResponse {
	response := AttemptResponse{ID: attempt.ID, Outcome: routing.NotRun, Reason: string(why), InFlight: int(open)}
	if !f.attemptLog.query(context.WithoutCancel(ctx), f.attemptLog.refusals, attempt.ID) {
		response.Outcome = routing.Unknown // it came before, and was begun
	}
	return response
}

// queueRefusal tells why an attempt has left a line without its turn.
func queueRefusal(ctx context.Context) endpoints.Rejection {
	if ended := refusalFor(ctx); ended != endpoints.DeadlineExpired {
		return ended
	}
	return endpoints.BackendFull
}

// admissionBid is what an attempt asks of a line.
func (a *Attempt) admissionBid() endpoints.QueueRequest {
	return endpoints.QueueRequest{Priority: a.Priority, Route: a.Route, Remaining: min(a.Timeout, a.TimeToTarget), LateRemaining: a.queueAllowance()}
}

// currentLimit tells, whenever it is asked, how many requests an attempt's backend may run: the
// newest beat tells what it can bear.
func (f *Inbound) currentLimit(ctx context.Context, attempt *Attempt, e endpoints.Endpoint) func() int64 {
	return func() int64 {
		now, why := f.checkAdmission(ctx, attempt)
		if why != endpoints.Admitted {
			now = e
		}
		return f.ConcurrencyLimit(now, time.Now())
	}
}

// forward puts a begun attempt to its backend, if the gate lets the first byte through.
func (f *Inbound) forward(ctx context.Context, e endpoints.Endpoint, attempt *Attempt, span trace.Span) AttemptResponse {
	var free time.Duration // when a cold backend may bear the next
	g := &writeGuard{check: func() endpoints.Rejection {
		now, why := f.checkAdmission(ctx, attempt)
		if why == endpoints.Admitted && now.Address != e.Address {
			why = endpoints.UnknownBackend
		}
		if rate, cold := f.warmupRate(now, time.Now()); cold && why == endpoints.Admitted {
			if ok, back := e.Admission.AllowWarmup(rate, time.Since(f.started)); !ok {
				free, why = back, endpoints.BackendFull
			}
		}
		return why
	}}
	response := f.exchange(ctx, e, attempt, span, g)
	if response.Outcome == routing.Unknown && g.close() {
		response.Outcome = routing.NotRun
		if why := g.refusal.Load(); why != nil {
			response.Reason, response.RetryAfter = string(*why), free
		}
	}
	response.ID, response.InFlight, response.ReachedBackend = attempt.ID, int(e.Admission.Outstanding()), g.state.Load() == guardWritten
	return response
}
