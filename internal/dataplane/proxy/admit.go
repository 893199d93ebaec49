package proxy

import (
	"context"
	"errors"
	"time"

	"curlewwalk/internal/dataplane/causality"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/trace"
)

// refusal is why an attempt is not run; its zero value admits it.
type refusal struct {
	rejection endpoints.Rejection
	// retryAfter is the least time after which the request should be sent again; zero if that
	// is not known.
	retryAfter time.Duration
	// inFlight is how many requests the backend runs or has in its queue; zero if the attempt
	// did not come so far.
	inFlight int64
}

// admit takes an attempt through admission and its backend's queue to the backend. Once the
// attempt log has let it begin, a cancellation can't prove any more that it has not run: only the
// write guard or the backend itself can.
func (in *Inbound) admit(ctx context.Context, attempt *Attempt, span trace.Span) AttemptResponse {
	if in.Draining() {
		return in.refuse(ctx, attempt, refusal{rejection: endpoints.NodeDraining})
	}
	size := int64(len(attempt.Body))
	if !in.Bodies.Reserve(size) {
		return in.refuse(ctx, attempt, refusal{rejection: endpoints.BackendFull, retryAfter: briefly})
	}
	defer in.Bodies.Release(size)
	endpoint, rejection := in.checkAdmission(ctx, attempt)
	if rejection != endpoints.Admitted {
		return in.refuse(ctx, attempt, refusal{rejection: rejection})
	}
	done, retryAfter := endpoint.Admission.Acquire(ctx, attempt.queueRequest(), in.currentLimit(ctx, attempt, endpoint))
	if done == nil {
		return in.refuse(ctx, attempt, refusal{queueRejection(ctx), retryAfter, endpoint.Admission.Outstanding()})
	}
	defer func() { done(errors.Is(context.Cause(ctx), errCanceled)) }()
	if !in.attemptLog.begin(ctx, attempt.ID) {
		return in.notBegun(ctx, attempt)
	}
	in.Causality.Begin(ctx, causality.OpenRequest{Span: span, Service: attempt.Service, Route: attempt.Route, Priority: attempt.Priority, StartedAt: time.Now(), Deadline: deadline(ctx)})
	defer in.Causality.End(span.ID)
	return in.forward(ctx, endpoint, attempt, span)
}

// checkAdmission reports whether an attempt may be sent to its backend now. It is asked at first,
// and again immediately before the write.
func (in *Inbound) checkAdmission(ctx context.Context, attempt *Attempt) (endpoints.Endpoint, endpoints.Rejection) {
	switch {
	case attempt.Incarnation != in.Incarnation:
		return endpoints.Endpoint{}, endpoints.WrongIncarnation
	case ctx.Err() != nil:
		return endpoints.Endpoint{}, rejectionFor(ctx)
	case !in.LeaseHeld():
		return endpoints.Endpoint{}, endpoints.LeaseExpired
	}
	return in.Endpoints().Admit(endpoints.AdmissionRequest{Service: attempt.Service, Instance: attempt.Instance}, in.Table().ZoneDrained, time.Now())
}

// refuse replies to an attempt that is not to run. That proves it not to run, unless the attempt
// came before and was begun.
func (in *Inbound) refuse(ctx context.Context, attempt *Attempt, r refusal) AttemptResponse {
	response := AttemptResponse{ID: attempt.ID, Outcome: routing.NotRun, Reason: string(r.rejection), InFlight: int(r.inFlight), RetryAfter: r.retryAfter}
	if !in.attemptLog.refuse(context.WithoutCancel(ctx), attempt.ID) {
		response.Outcome = routing.Unknown // it came before, and was begun
	}
	return response
}

// notBegun replies to an attempt that the attempt log has not let begin: its time is over, or
// it came before.
func (in *Inbound) notBegun(ctx context.Context, attempt *Attempt) AttemptResponse {
	if ctx.Err() != nil {
		return in.refuse(ctx, attempt, refusal{rejection: rejectionFor(ctx)})
	}
	return AttemptResponse{ID: attempt.ID, Outcome: routing.Unknown, Reason: "this leg came before"}
}

// queueRejection tells why an attempt has left the queue without being admitted. If it was
// neither canceled nor ended by a shutdown, the queue was too long for it, whether the queue has
// rejected it or its time has passed in there.
func queueRejection(ctx context.Context) endpoints.Rejection {
	if rejection := rejectionFor(ctx); rejection != endpoints.DeadlineExpired {
		return rejection
	}
	return endpoints.BackendFull
}

// currentLimit returns a function that tells how many requests an attempt's backend may run at
// the moment of the call. The capacity is that of the backend's newest heartbeat, or that of the
// admission if the backend would not be admitted to any more.
func (in *Inbound) currentLimit(ctx context.Context, attempt *Attempt, admitted endpoints.Endpoint) func() int64 {
	return func() int64 {
		current, rejection := in.checkAdmission(ctx, attempt)
		if rejection != endpoints.Admitted {
			current = admitted
		}
		return in.ConcurrencyLimit(current, time.Now())
	}
}

// forward puts an attempt that has begun to its backend, if it is still admitted when its first
// byte is to be written. If no byte was written, it is proven not to have run.
func (in *Inbound) forward(ctx context.Context, endpoint endpoints.Endpoint, attempt *Attempt, span trace.Span) AttemptResponse {
	guard := &writeGuard{check: func() refusal { return in.checkBeforeWrite(ctx, endpoint, attempt) }}
	response := in.exchange(ctx, endpoint, attempt, span, guard)
	if response.Outcome == routing.Unknown && guard.close() {
		response.Outcome = routing.NotRun
		if refusal := guard.refusal.Load(); refusal != nil {
			response.Reason, response.RetryAfter = string(refusal.rejection), refusal.retryAfter
		}
	}
	response.ID, response.InFlight, response.ReachedBackend = attempt.ID, int(endpoint.Admission.Outstanding()), guard.written()
	return response
}

// checkBeforeWrite reports whether an attempt may still be written to the backend that it was
// admitted to. A backend that is warming up also takes no more than its rate of requests.
func (in *Inbound) checkBeforeWrite(ctx context.Context, admitted endpoints.Endpoint, attempt *Attempt) refusal {
	current, rejection := in.checkAdmission(ctx, attempt)
	if rejection == endpoints.Admitted && current.Address != admitted.Address {
		rejection = endpoints.UnknownBackend
	}
	if rate, warmingUp := in.warmupRate(current, time.Now()); warmingUp && rejection == endpoints.Admitted {
		if ok, retryAfter := admitted.Admission.AllowWarmup(rate, time.Since(in.started)); !ok {
			return refusal{rejection: endpoints.BackendFull, retryAfter: retryAfter}
		}
	}
	return refusal{rejection: rejection}
}
