package proxy

import (
	"context"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/transport"
)

// outgoingAttempt is an attempt that the outbound side sends to the inbound side of a sidecar.
type outgoingAttempt struct {
	Attempt
	target membership.Target
	// span is the request's span for the first attempt, and a child of that span for each retry.
	// (DESIGN 2.1)
	span trace.Span
	// sentAt is when the attempt was sent.
	sentAt time.Time
}

// attemptOutcome holds the result of an attempt for the routing decision, and the response for the
// client if there is one.
type attemptOutcome struct {
	result   routing.AttemptResult
	response AttemptResponse
}

// isRetry reports whether the attempt is not the request's first.
func (a *outgoingAttempt) isRetry() bool { return a.Number > 1 }

// sendAttempt sends one attempt of a request and returns its outcome.
func (o *Outbound) sendAttempt(ctx context.Context, req *request, action routing.Action, number int) attemptOutcome {
	attempt := o.newAttempt(req, action, number)
	if attempt.isRetry() {
		ctx = trace.ContextWithSpan(ctx, attempt.span)
	}
	reply := o.transmit(ctx, req, attempt)
	outcome := o.interpret(ctx, attempt, reply)
	o.observeLatency(ctx, attempt, outcome.result)
	o.endAttemptSpan(attempt, outcome)
	return outcome
}

// newAttempt builds the next attempt of a request. A first attempt makes a deposit in the service's
// retry budget. A retry gets a span of its own.
func (o *Outbound) newAttempt(req *request, action routing.Action, number int) *outgoingAttempt {
	attempt := &outgoingAttempt{Attempt: req.template, target: action.Target, span: req.span}
	attempt.Number = number
	attempt.Instance, attempt.Incarnation = action.Target.Instance, action.Target.Incarnation
	attempt.QueuePastTarget = action.QueuePastTarget
	if attempt.isRetry() {
		o.Counters.ExtraAttempts.Add(1)
		attempt.span = req.span.Child()
		o.Spans.Put(attempt.span, trace.ClientStart, attempt.traceEvent())
	} else {
		o.RetryBudgets.Deposit(req.route.Service)
	}
	attempt.ID = attempt.span.ID.String() + "/" + trace.NewID().String()
	attempt.Timeout = time.Until(req.deadline) - responseMargin
	attempt.TimeToTarget = time.Until(req.targetTime) + o.allowedLateness(req) - responseMargin
	return attempt
}

// transmit sends an attempt and waits for the inbound side's reply. If the client disconnects in
// the meantime, transmit cancels the attempt and still waits for the reply.
func (o *Outbound) transmit(ctx context.Context, req *request, attempt *outgoingAttempt) transport.Response {
	attempt.target.Load.Attempts.Add(1)
	attempt.sentAt = time.Now()
	stopWatching := req.client.cancelIfLeft(func() { o.cancelAsync(ctx, attempt) })
	reply := o.Transport.Call(ctx, attempt.target.Node, transport.RequestTraffic, KindAttempt, attempt.Attempt)
	stopWatching()
	attempt.target.Load.Attempts.Add(-1)
	if reply.Traced { // orders later trace events of this side after those of the inbound side
		attempt.span.AdvanceCounter(reply.Span.Counter())
	}
	return reply
}

// interpret derives the outcome of an attempt from the inbound side's reply. An attempt that was
// not delivered is known not to have run. An attempt without a valid reply is lost and is canceled.
// A target that failed is ejected for EjectionTime.
func (o *Outbound) interpret(ctx context.Context, attempt *outgoingAttempt, reply transport.Response) attemptOutcome {
	var response AttemptResponse
	switch {
	case reply.Delivery == transport.NotDelivered:
		attempt.target.Load.Eject(o.EjectionTime)
		return attemptOutcome{result: routing.AttemptResult{Target: attempt.target, Outcome: routing.NotRun, Reason: "node could not be reached"}}
	case reply.Decode(&response) && response.answers(&attempt.Attempt):
		attempt.target.Load.Report(response.InFlight)
		if response.indicatesFault() {
			attempt.target.Load.Eject(o.EjectionTime)
		}
		return attemptOutcome{result: response.result(attempt.target), response: response}
	}
	attempt.target.Load.Eject(o.EjectionTime)
	return attemptOutcome{result: o.cancelLost(ctx, attempt), response: response}
}

// indicatesFault reports whether the response indicates a fault of its target. A full backend or a
// canceled attempt is not a fault. Any other reason for a missing response is one, including an
// expired deadline.
func (r *AttemptResponse) indicatesFault() bool {
	return r.Outcome != routing.Answered && r.Reason != string(endpoints.BackendFull) && r.Reason != string(endpoints.Canceled)
}

// result converts the response to a result for the routing decision.
func (r *AttemptResponse) result(target membership.Target) routing.AttemptResult {
	return routing.AttemptResult{
		Target:           target,
		Outcome:          r.Outcome,
		Reason:           r.Reason,
		RetryAfter:       r.RetryAfter,
		ReachedBackend:   r.ReachedBackend,
		DeadlineExceeded: r.Reason == string(endpoints.DeadlineExpired),
		LeaseExpired:     r.Outcome == routing.NotRun && r.Reason == string(endpoints.LeaseExpired),
	}
}

// forClient converts the response to the one for the client.
func (r *AttemptResponse) forClient() Response {
	return Response{Status: r.Status, Header: r.Header, Trailer: r.Trailer, Body: r.Body, Outcome: routing.Answered}
}

// observeLatency records how long an attempt took, if it was answered or reached the deadline.
func (o *Outbound) observeLatency(ctx context.Context, attempt *outgoingAttempt, result routing.AttemptResult) {
	if missed := result.DeadlineExceeded || ctx.Err() != nil; missed || result.Outcome == routing.Answered {
		o.Latencies.Observe(attempt.Route, attempt.target, time.Since(attempt.sentAt), missed)
	}
}

// endAttemptSpan ends the span of a retry. The span of a first attempt is the request's span, which
// conclude ends.
func (o *Outbound) endAttemptSpan(attempt *outgoingAttempt, outcome attemptOutcome) {
	if !attempt.isRetry() {
		return
	}
	event := attempt.traceEvent()
	event.Status, event.Outcome, event.Reason = outcome.response.Status, string(outcome.result.Outcome), outcome.result.Reason
	o.Spans.Put(attempt.span, trace.ClientReceive, event)
}

// traceEvent returns the trace event of a retry.
func (a *outgoingAttempt) traceEvent() trace.Event {
	return trace.Event{Route: a.Route, Service: a.Service, Instance: a.Instance, Attempt: a.Number}
}
