package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/trace"
)

// runAttempts sends a request in sequential attempts, as its routing.Decision says, and returns the
// response for the client. The decision also limits the time and the number of attempts.
func (o *Outbound) runAttempts(ctx context.Context, req *request) Response {
	decision := o.newDecision(req)
	o.Spans.Put(req.span, trace.ClientStart, req.traceEvent())
	var last AttemptResponse
	for {
		action := decision.Next(o.Table(), o.View(), time.Now())
		switch action.Kind {
		case routing.Send:
			outcome := o.sendAttempt(ctx, req, action, len(decision.Attempts())+1)
			decision.Record(outcome.result)
			last = outcome.response
		case routing.Wait:
			pause(ctx, action.Wait)
		case routing.Respond:
			return o.conclude(req, last.forClient(), routing.Failure{}, len(decision.Attempts()))
		case routing.Fail:
			o.logFailure(req, action.Failure, len(decision.Attempts()))
			return o.conclude(req, o.failRequest(req, &action.Failure), action.Failure, len(decision.Attempts()))
		}
	}
}

// newDecision returns the decision that chooses each next action of a request.
func (o *Outbound) newDecision(req *request) *routing.Decision {
	return &routing.Decision{
		Route:    req.route,
		Deadline: req.deadline,
		Zone:     o.Zone,
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Conditions: routing.Conditions{
			TargetTime:     req.targetTime,
			MaxLateness:    req.maxLateness(),
			LatenessBudget: o.allowedLateness(req),
			Latency: func(t membership.Target) routing.LatencyHistogram {
				return o.Latencies.Estimate(req.route.Name, t)
			},
			CrossZoneCost:            o.crossZoneCost(req),
			WaitUntil:                o.waitUntil(req),
			AcceptLate:               o.AcceptLate,
			RetryAfter:               o.retryAfter(),
			WithdrawRetry:            func() bool { return o.RetryBudgets.TryWithdraw(req.route.Service) },
			AbandonReason:            func() string { return o.abandonReason(req) },
			ConfigurationUnconfirmed: o.ConfigurationUnconfirmed,
		},
	}
}

// conclude records a request's latency against its contract, and ends its span.
func (o *Outbound) conclude(req *request, response Response, failure routing.Failure, attempts int) Response {
	contract := req.contract
	o.LatencyBudgets.Observe(contract.Name, time.Since(req.startedAt), contract.LatencyTarget.Duration, contract.Deadline.Duration, response.Outcome == routing.Answered)
	event := req.traceEvent()
	event.Status, event.Outcome, event.Reason, event.Attempt = response.Status, string(response.Outcome), failure.Reason, attempts
	o.Spans.Put(req.span, trace.ClientReceive, event)
	return response
}

// traceEvent returns the trace event of the whole request.
func (req *request) traceEvent() trace.Event {
	return trace.Event{Route: req.route.Name, Service: req.route.Service, Caller: req.caller, Link: req.cause.Link, Candidates: req.cause.Candidates}
}

// logFailure logs a request that ended without a backend's response.
func (o *Outbound) logFailure(req *request, f routing.Failure, attempts int) {
	o.Log.Info("request failed", "trace", req.span.Trace.String(), "route", req.route.Name, "caller", req.caller,
		"status", f.Status, "outcome", f.Outcome, "reason", f.Reason, "attempts", attempts)
}

// abandonReason returns why the request must be abandoned. It returns an empty string if the
// request must continue.
func (o *Outbound) abandonReason(req *request) string {
	switch {
	case req.client.hasLeft():
		return "the client has left"
	case o.Lifetime.Err() != nil:
		return stoppingReason
	}
	return ""
}

// pause blocks for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// allowedLateness returns how long after its latency target a request may be planned to end, within
// its contract's latency budget.
func (o *Outbound) allowedLateness(req *request) time.Duration {
	return o.LatencyBudgets.AllowedLateness(req.contract.Name, req.maxLateness())
}

// waitUntil returns the time until which a request may wait for a backend with capacity.
// (DESIGN 15.4)
func (o *Outbound) waitUntil(req *request) time.Time {
	return req.startedAt.Add(time.Duration(o.WaitShare * float64(req.contract.LatencyTarget.Duration)))
}

// crossZoneCost returns the cost of sending the request to another zone. It is CrossZoneCost for a
// request without a body, and grows by CrossZoneCost for each typicalRequestSize bytes of the body.
func (o *Outbound) crossZoneCost(req *request) float64 {
	return o.CrossZoneCost * (1 + float64(len(req.template.Body))/typicalRequestSize)
}

// retryAfter returns the time after which a rejected client may retry. The time is random so that
// clients rejected together do not retry together.
func (o *Outbound) retryAfter() time.Duration {
	return o.MinRetryAfter + time.Duration(rand.Int64N(int64(o.MinRetryAfter)/2+1))
}
