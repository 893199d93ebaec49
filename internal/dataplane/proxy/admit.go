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

// refusal is the reason why an attempt is not run. The zero value means that the attempt is
// admitted.
type refusal struct {
	rejection endpoints.Rejection
	// retryAfter is the shortest time after which the request should be retried. It is zero if
	// unknown.
	retryAfter time.Duration
	// inFlight is the number of requests that the backend is running or has in its queue. It is
	// zero if the attempt was refused before its backend's queue.
	inFlight int64
}

// admit passes an attempt through admission and its backend's queue, and forwards it to the
// backend. After the attempt log has let the attempt begin, a cancellation can no longer prove that
// it has not run. Only the write guard or the backend itself can prove that.
func (in *Inbound) admit(ctx context.Context, attempt *Attempt, span trace.Span) AttemptResponse {
	if in.Draining() {
		return in.refuse(ctx, attempt, refusal{rejection: endpoints.NodeDraining})
	}
	size := int64(len(attempt.Body))
	if !in.Bodies.Reserve(size) {
		return in.refuse(ctx, attempt, refusal{rejection: endpoints.BackendFull, retryAfter: transientRetryAfter})
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
	// The duration of a canceled attempt is not used to estimate the backend's speed.
	defer func() { done(errors.Is(context.Cause(ctx), errCanceled)) }()
	if !in.attemptLog.begin(ctx, attempt.ID) {
		return in.notBegun(ctx, attempt)
	}
	in.Causality.Begin(ctx, causality.OpenRequest{Span: span, Service: attempt.Service, Route: attempt.Route, Priority: attempt.Priority, StartedAt: time.Now(), Deadline: deadline(ctx)})
	defer in.Causality.End(span.ID)
	return in.forward(ctx, endpoint, attempt, span)
}

// checkAdmission reports whether an attempt may be sent to its backend now. It is called first at
// admission, and again immediately before the write. currentLimit also calls it, to get the newest
// state of the backend.
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

// refuse returns the reply to an attempt that must not run. The reply proves that the attempt does
// not run, unless an earlier copy of the attempt has begun or the attempt log has ended.
func (in *Inbound) refuse(ctx context.Context, attempt *Attempt, r refusal) AttemptResponse {
	response := AttemptResponse{ID: attempt.ID, Outcome: routing.NotRun, Reason: string(r.rejection), InFlight: int(r.inFlight), RetryAfter: r.retryAfter}
	if !in.attemptLog.refuse(context.WithoutCancel(ctx), attempt.ID) {
		response.Outcome = routing.Unknown // an earlier copy of the attempt has begun, or the log has ended
	}
	return response
}

// notBegun returns the reply to an attempt that the attempt log did not let begin, because its
// context has ended, because it is a duplicate, or because the log has ended.
func (in *Inbound) notBegun(ctx context.Context, attempt *Attempt) AttemptResponse {
	if ctx.Err() != nil {
		return in.refuse(ctx, attempt, refusal{rejection: rejectionFor(ctx)})
	}
	return AttemptResponse{ID: attempt.ID, Outcome: routing.Unknown, Reason: "this leg came before"}
}

// queueRejection returns the reason why an attempt left the queue without being admitted. If the
// attempt was neither canceled nor ended by a shutdown, the reason is BackendFull, both when the
// queue rejected the attempt and when its time ran out in the queue.
func queueRejection(ctx context.Context) endpoints.Rejection {
	if rejection := rejectionFor(ctx); rejection != endpoints.DeadlineExpired {
		return rejection
	}
	return endpoints.BackendFull
}

// currentLimit returns a function that returns the backend's concurrency limit at the time of the
// call. The function uses the capacity of the backend's newest heartbeat. If the attempt would no
// longer be admitted, it uses the capacity at the time of the admission.
func (in *Inbound) currentLimit(ctx context.Context, attempt *Attempt, admitted endpoints.Endpoint) func() int64 {
	return func() int64 {
		current, rejection := in.checkAdmission(ctx, attempt)
		if rejection != endpoints.Admitted {
			current = admitted
		}
		return in.ConcurrencyLimit(current, time.Now())
	}
}

// forward sends an attempt that has begun to its backend, if the attempt is still admitted when its
// first byte is about to be written. If no byte was written, the attempt is known not to have run.
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
// admitted to. It also counts the attempt against the warm-up rate of the service, and enforces this
// rate while the backend is, or may be, warming up.
func (in *Inbound) checkBeforeWrite(ctx context.Context, admitted endpoints.Endpoint, attempt *Attempt) refusal {
	current, rejection := in.checkAdmission(ctx, attempt)
	if rejection == endpoints.Admitted && current.Address != admitted.Address {
		rejection = endpoints.UnknownBackend
	}
	if rejection != endpoints.Admitted {
		return refusal{rejection: rejection}
	}
	rate, limited := current.WarmupLimit(in.Table(), time.Now())
	if !limited {
		admitted.Admission.CountWarm(rate)
		return refusal{}
	}
	if ok, retryAfter := admitted.Admission.AllowWarmup(rate, time.Since(in.started)); !ok {
		return refusal{rejection: endpoints.BackendFull, retryAfter: retryAfter}
	}
	return refusal{}
}
