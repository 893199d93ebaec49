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

// run asks the decision and obeys, attempt by attempt.
func (n *Near) run(ctx context.Context, q *request) Response {
	d := routing.Decision{
		Route: q.route, Deadline: q.deadline, Zone: n.Zone, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Means: routing.Means{
			Aim: q.aim, Room: q.room(), Patience: n.Budgets.AllowedLateness(q.contract.Name, q.room()),
			Cost: func(t membership.Target) routing.Cost { return n.Costs.Of(q.route.Name, t) },
			Hold: n.hold(q), Back: n.back(), Late: n.Late, Crossing: n.crossing(q),
			Spend: func() bool { return n.RetryBudgets.TryWithdraw(q.route.Service) }, Unsure: n.Unsure, Unwanted: func() string { return n.unwanted(q) },
		},
	}
	note := trace.Event{Route: q.route.Name, Service: q.route.Service, Caller: q.caller, Link: q.cause.Link, Candidates: q.cause.Candidates}
	n.Queue.Put(q.span, trace.ClientStart, note)
	var last AttemptResponse
	for {
		o := d.Ask(n.Table(), n.View(), time.Now())
		if o.Wait > 0 {
			pause(ctx, o.Wait)
			continue
		}
		if !o.Send {
			rc := Response{Status: last.Status, Header: last.Header, Trailer: last.Trailer, Body: last.Body, Fate: routing.Answered}
			if o.End.Status != 0 {
				n.Log.Info("an inquiry was not answered", "trace", q.span.Trace.String(), "way", q.route.Name, "caller", q.caller,
					"status", o.End.Status, "outcome", o.End.Fate, "reason", o.End.Reason, "legs", len(d.Attempts()))
				rc = n.own(q, o.End.Status, o.End.Fate, o.End.Reason, o.End.RetryAfter)
			}
			n.Budgets.Observe(q.contract.Name, time.Since(q.begun), q.contract.LatencyTarget.Duration, q.contract.Deadline.Duration, rc.Fate == routing.Answered)
			note.Status, note.Outcome, note.Reason, note.Attempt = rc.Status, string(rc.Fate), o.End.Reason, len(d.Attempts())
			n.Queue.Put(q.span, trace.ClientReceive, note)
			return rc
		}
		var l routing.Attempt
		l, last = n.send(ctx, q, o, len(d.Attempts())+1)
		d.Tell(l)
	}
}

// unwanted tells why nothing more is to be done for a request, if so.
func (n *Near) unwanted(q *request) string {
	switch {
	case q.client.left():
		return "the client has left"
	case n.Life.Err() != nil:
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

// hold is until when a request may be held for a place. (DESIGN 15.4)
func (n *Near) hold(q *request) time.Time {
	return q.begun.Add(time.Duration(n.Hold * float64(q.contract.LatencyTarget.Duration)))
}

// crossing is the price of leaving the own zone, by how much would be carried.
func (n *Near) crossing(q *request) float64 {
	return n.Crossing * (1 + float64(len(q.attempt.Body))/usual)
}

// back is when a refused request may come again at the soonest: spread, so that those
// refused together do not come together.
func (n *Near) back() time.Duration {
	return n.ComeBack + time.Duration(rand.Int64N(int64(n.ComeBack)/2+1))
}

// send carries one attempt. The first attempt is the span's own; each further one is a
// child span of its own. (DESIGN 2.1)
func (n *Near) send(ctx context.Context, q *request, o routing.Order, num int) (routing.Attempt, AttemptResponse) {
	span, t := q.span, o.Target
	if num == 1 {
		n.RetryBudgets.Deposit(q.route.Service)
	} else {
		n.Counts.ExtraAttempts.Add(1)
		span = q.span.Child()
		ctx = trace.ContextWithSpan(ctx, span)
		n.Queue.Put(span, trace.ClientStart, trace.Event{Route: q.route.Name, Service: q.route.Service, Instance: t.Instance, Attempt: num})
	}
	attempt := q.attempt
	attempt.ID = span.ID.String() + "/" + trace.NewID().String()
	attempt.N, attempt.Instance, attempt.Boot, attempt.Patient = num, t.Instance, t.Incarnation, o.Patient
	attempt.Left = time.Until(q.deadline) - grace
	attempt.Aim = time.Until(q.aim) + n.Budgets.AllowedLateness(q.contract.Name, q.room()) - grace
	t.Load.Attempts.Add(1)
	sent := time.Now()
	over := q.client.during(func() { n.recallLater(ctx, t.Node, attempt) })
	r := n.Net.Call(ctx, t.Node, transport.Traffic, KindAttempt, attempt)
	over()
	t.Load.Attempts.Add(-1)
	if r.Traced {
		span.AdvanceCounter(r.Span.Counter())
	}
	l := routing.Attempt{Target: t, Fate: routing.Unknown, Reason: "lost on the way", Reached: true}
	var rc AttemptResponse
	switch {
	case r.Fate == transport.Unsent:
		l.Fate, l.Reason, l.Reached = routing.NotRun, "node could not be reached", false
		t.Load.Eject(n.Shun)
	case r.Into(&rc) && rc.of(&attempt):
		l.Fate, l.Reason, l.Reached, l.Back, l.Expired = rc.Fate, rc.Reason, rc.Reached, rc.Back, rc.Reason == string(endpoints.DeadlineExpired)
		l.Lapsed = rc.Fate == routing.NotRun && rc.Reason == string(endpoints.LeaseExpired)
		t.Load.Report(rc.Open)
		if rc.Fate != routing.Answered && rc.Reason != string(endpoints.BackendFull) && rc.Reason != string(endpoints.Canceled) {
			t.Load.Eject(n.Shun)
		}
	default:
		t.Load.Eject(n.Shun)
		l = n.recall(ctx, l, attempt)
	}
	if expired := l.Expired || ctx.Err() != nil; expired || l.Fate == routing.Answered {
		n.Costs.Learn(q.route.Name, t, time.Since(sent), expired)
	}
	if num > 1 {
		n.Queue.Put(span, trace.ClientReceive, trace.Event{Route: q.route.Name, Service: q.route.Service, Instance: t.Instance, Attempt: num, Status: rc.Status, Outcome: string(l.Fate), Reason: l.Reason})
	}
	return l, rc
}

// recall asks the far sidecar to let a lost attempt never run; only its word that
// the attempt did not run proves it. Past the deadline nobody waits for that word; at the
// end of a stop it is waited for, though not for long. (DESIGN 10.2)
func (n *Near) recall(ctx context.Context, l routing.Attempt, attempt Attempt) routing.Attempt {
	wait := recallFor
	switch {
	case ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), ErrStopping):
		ctx, wait = context.WithoutCancel(ctx), stopRecallFor
	default:
		n.recallLater(ctx, l.Target.Node, attempt)
		return l
	}
	if rc, ok := n.askRecall(ctx, l.Target.Node, attempt, wait); ok && rc.Fate == routing.NotRun {
		l.Fate, l.Reason, l.Reached = routing.NotRun, rc.Reason, false
	}
	return l
}

// recallLater recalls an attempt whose answer nobody waits for, and does not wait either.
func (n *Near) recallLater(ctx context.Context, node string, attempt Attempt) {
	n.Launcher.Go(context.WithoutCancel(ctx), "recall", func(ctx context.Context) { n.askRecall(ctx, node, attempt, recallFor) })
}

// askRecall recalls an attempt, and tells what the far sidecar says, if it says so in time.
func (n *Near) askRecall(ctx context.Context, node string, attempt Attempt, wait time.Duration) (rc AttemptResponse, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ok = n.Net.Call(ctx, node, transport.Control, KindRecall, Recall{ID: attempt.ID, Boot: attempt.Boot}).Into(&rc)
	return rc, ok && rc.of(&attempt)
}
