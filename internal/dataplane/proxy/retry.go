package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/transport"
)

// runAttempts asks the decision and obeys, attempt by attempt.
func (n *Outbound) runAttempts(ctx context.Context, req *request) Response {
	d := routing.Decision{
		Route: req.route, Deadline: req.deadline, Zone: n.Zone, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Conditions: routing.Conditions{
			TargetTime: req.targetTime, MaxLateness: req.maxLateness(), LatenessBudget: n.Budgets.AllowedLateness(req.contract.Name, req.maxLateness()),
			Latency:   func(t membership.Target) routing.LatencyHistogram { return n.Latencies.Estimate(req.route.Name, t) },
			WaitUntil: n.waitUntil(req), RetryAfter: n.retryAfter(), AcceptLate: n.AcceptLate, CrossZoneCost: n.crossZoneCost(req),
			SpendRetry: func() bool { return n.RetryBudgets.TryWithdraw(req.route.Service) }, ConfigurationUnconfirmed: n.ConfigurationUnconfirmed, AbandonReason: func() string { return n.abandonReason(req) },
		},
	}
	note := trace.Event{Route: req.route.Name, Service: req.route.Service, Caller: req.caller, Link: req.cause.Link, Candidates: req.cause.Candidates}
	n.Spans.Put(req.span, trace.ClientStart, note)
	var last AttemptResponse
	for {
		action := d.Next(n.Table(), n.View(), time.Now())
		if action.Kind == routing.Wait {
			pause(ctx, action.Wait)
			continue
		}
		if action.Kind != routing.Send {
			response := Response{Status: last.Status, Header: last.Header, Trailer: last.Trailer, Body: last.Body, Fate: routing.Answered}
			if action.Kind == routing.Fail {
				n.Log.Info("an inquiry was not answered", "trace", req.span.Trace.String(), "way", req.route.Name, "caller", req.caller,
					"status", action.Failure.Status, "outcome", action.Failure.Outcome, "reason", action.Failure.Reason, "legs", len(d.Attempts()))
				response = n.localReplyTo(req, action.Failure.Status, action.Failure.Outcome, action.Failure.Reason, action.Failure.RetryAfter)
			}
			n.Budgets.Observe(req.contract.Name, time.Since(req.startedAt), req.contract.LatencyTarget.Duration, req.contract.Deadline.Duration, response.Fate == routing.Answered)
			note.Status, note.Outcome, note.Reason, note.Attempt = response.Status, string(response.Fate), action.Failure.Reason, len(d.Attempts())
			n.Spans.Put(req.span, trace.ClientReceive, note)
			return response
		}
		var result routing.AttemptResult
		result, last = n.sendAttempt(ctx, req, action, len(d.Attempts())+1)
		d.Record(result)
	}
}

// abandonReason tells why nothing more is to be done for a request, if so.
func (n *Outbound) abandonReason(req *request) string {
	switch {
	case req.client.hasLeft():
		return "the client has left"
	case n.Lifetime.Err() != nil:
		return ErrStopping.Error()
	}
	return ""
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// waitUntil is until when a request may be held for a place. (DESIGN 15.4)
func (n *Outbound) waitUntil(req *request) time.Time {
	return req.startedAt.Add(time.Duration(n.WaitShare * float64(req.contract.LatencyTarget.Duration)))
}

// crossZoneCost is the price of leaving the own zone, by how much would be carried.
func (n *Outbound) crossZoneCost(req *request) float64 {
	return n.CrossZoneCost * (1 + float64(len(req.template.Body))/usualRequestSize)
}

// retryAfter is when a refused request may come again at the soonest: spread, so that those
// refused together do not come together.
func (n *Outbound) retryAfter() time.Duration {
	return n.MinRetryAfter + time.Duration(rand.Int64N(int64(n.MinRetryAfter)/2+1))
}

// sendAttempt carries one attempt. The first attempt is the span's own; each further one is a
// child span of its own. (DESIGN 2.1)
func (n *Outbound) sendAttempt(ctx context.Context, req *request, action routing.Action, number int) (routing.AttemptResult, AttemptResponse) {
	span, target := req.span, action.Target
	if number == 1 {
		n.RetryBudgets.Deposit(req.route.Service)
	} else {
		n.Counters.ExtraAttempts.Add(1)
		span = req.span.Child()
		ctx = trace.ContextWithSpan(ctx, span)
		n.Spans.Put(span, trace.ClientStart, trace.Event{Route: req.route.Name, Service: req.route.Service, Instance: target.Instance, Attempt: number})
	}
	attempt := req.template
	attempt.ID = span.ID.String() + "/" + trace.NewID().String()
	attempt.Number, attempt.Instance, attempt.Incarnation, attempt.QueuePastTarget = number, target.Instance, target.Incarnation, action.QueuePastTarget
	attempt.Timeout = time.Until(req.deadline) - responseMargin
	attempt.TimeToTarget = time.Until(req.targetTime) + n.Budgets.AllowedLateness(req.contract.Name, req.maxLateness()) - responseMargin
	target.Load.Attempts.Add(1)
	sent := time.Now()
	stopWatching := req.client.cancelIfLeft(func() { n.cancelAsync(ctx, target.Node, attempt) })
	r := n.Transport.Call(ctx, target.Node, transport.RequestTraffic, KindAttempt, attempt)
	stopWatching()
	target.Load.Attempts.Add(-1)
	if r.Traced {
		span.AdvanceCounter(r.Span.Counter())
	}
	result := routing.AttemptResult{Target: target, Outcome: routing.Unknown, Reason: "lost on the way", ReachedBackend: true}
	var response AttemptResponse
	switch {
	case r.Delivery == transport.NotDelivered:
		result.Outcome, result.Reason, result.ReachedBackend = routing.NotRun, "node could not be reached", false
		target.Load.Eject(n.EjectionTime)
	case r.Decode(&response) && response.answers(&attempt):
		result.Outcome, result.Reason, result.ReachedBackend, result.RetryAfter, result.DeadlineExceeded = response.Outcome, response.Reason, response.ReachedBackend, response.RetryAfter, response.Reason == string(endpoints.DeadlineExpired)
		result.LeaseExpired = response.Outcome == routing.NotRun && response.Reason == string(endpoints.LeaseExpired)
		target.Load.Report(response.InFlight)
		if response.Outcome != routing.Answered && response.Reason != string(endpoints.BackendFull) && response.Reason != string(endpoints.Canceled) {
			target.Load.Eject(n.EjectionTime)
		}
	default:
		target.Load.Eject(n.EjectionTime)
		result = n.cancelLost(ctx, result, attempt)
	}
	if expired := result.DeadlineExceeded || ctx.Err() != nil; expired || result.Outcome == routing.Answered {
		n.Latencies.Observe(req.route.Name, target, time.Since(sent), expired)
	}
	if number > 1 {
		n.Spans.Put(span, trace.ClientReceive, trace.Event{Route: req.route.Name, Service: req.route.Service, Instance: target.Instance, Attempt: number, Status: response.Status, Outcome: string(result.Outcome), Reason: result.Reason})
	}
	return result, response
}

// cancelLost asks the far sidecar to let a lost attempt never run; only its word that
// the attempt did not run proves it. Past the deadline nobody waits for that word; at the
// end of a stop it is waited for, though not for long. (DESIGN 10.2)
func (n *Outbound) cancelLost(ctx context.Context, result routing.AttemptResult, attempt Attempt) routing.AttemptResult {
	wait := cancelTimeout
	switch {
	case ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), ErrStopping):
		ctx, wait = context.WithoutCancel(ctx), shutdownCancelTimeout
	default:
		n.cancelAsync(ctx, result.Target.Node, attempt)
		return result
	}
	if response, ok := n.sendCancel(ctx, result.Target.Node, attempt, wait); ok && response.Outcome == routing.NotRun {
		result.Outcome, result.Reason, result.ReachedBackend = routing.NotRun, response.Reason, false
	}
	return result
}

// cancelAsync recalls an attempt whose answer nobody waits for, and does not wait either.
func (n *Outbound) cancelAsync(ctx context.Context, node string, attempt Attempt) {
	n.Actors.Go(context.WithoutCancel(ctx), "recall", func(ctx context.Context) { n.sendCancel(ctx, node, attempt, cancelTimeout) })
}

// sendCancel recalls an attempt, and tells what the far sidecar says, if it says so in time.
func (n *Outbound) sendCancel(ctx context.Context, node string, attempt Attempt, wait time.Duration) (response AttemptResponse, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ok = n.Transport.Call(ctx, node, transport.ControlTraffic, KindCancel, CancelRequest{ID: attempt.ID, Incarnation: attempt.Incarnation}).Decode(&response)
	return response, ok && response.answers(&attempt)
}
