package proxy

import (
	"context"
	"errors"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/dataplane/causality"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/transport"
)

// InboundConfig is how an Inbound treats attempts.
type InboundConfig struct {
	// Incarnation is this process's; attempts that were meant for an earlier one are refused.
	Incarnation uint64
	// HalfCapacityTime is for how long after the start a backend gets half of its capacity at
	// most, as runs admitted by an earlier process may still be going on.
	HalfCapacityTime time.Duration
}

// InboundDeps is what an Inbound works with. All must be set.
type InboundDeps struct {
	Actors *actor.System
	// Endpoints and Table return the newest snapshots of this node's backends and of the routes.
	Endpoints func() endpoints.Registry
	Table     func() *routing.Table
	Spans     *trace.Queue
	Causality *causality.Tracker
	// LeaseHeld reports whether this node may admit attempts.
	LeaseHeld func() bool
	// Draining reports whether new attempts are refused.
	Draining func() bool
	Bodies   *BodyLimiter
	Dialect  Dialect
}

// Inbound is the proxy's side of the backends of this node: it alone admits attempts to them.
// (DESIGN 9)
type Inbound struct {
	InboundConfig
	InboundDeps
	Counters Counters

	started      time.Time
	attemptLog   *attemptLogActor
	openAttempts openAttempts
	pool         *connPool
}

// NewInbound returns an inbound side, and starts its attempt log, which runs until ctx ends.
func NewInbound(ctx context.Context, c InboundConfig, deps InboundDeps) *Inbound {
	in := &Inbound{InboundConfig: c, InboundDeps: deps, started: time.Now(), attemptLog: newAttemptLogActor()}
	deps.Actors.Go(ctx, "attempt-log", in.attemptLog.run)
	in.pool = newConnPool(ctx, deps.Actors, func(a backendAddress) bool { return in.Endpoints().IsActive(a.instance, a.address) })
	return in
}

// ConnectionsOpened returns how many connections to backends were opened.
func (in *Inbound) ConnectionsOpened() int64 { return in.pool.opened.Load() }

// ConnectionsReused returns how many attempts were given a connection that was open already.
func (in *Inbound) ConnectionsReused() int64 { return in.pool.reused.Load() }

// errNotAttempt answers a call that is not a valid Attempt. Its text is part of the protocol.
var errNotAttempt = errors.New("not a leg")

// HandleAttempt handles an attempt: it is the transport.Handler of KindAttempt.
func (in *Inbound) HandleAttempt(ctx context.Context, request transport.Request) (any, error) {
	var attempt Attempt
	if !request.Decode(&attempt) || !attempt.valid() {
		return nil, errNotAttempt // and never begun, as the reply to a cancellation will tell
	}
	in.Counters.Requests.Add(1)
	in.Counters.InFlight.Add(1)
	defer in.Counters.InFlight.Add(-1)
	span, traced := trace.SpanFromContext(ctx)
	if !traced {
		span = trace.Root() // a peer that does not trace is served all the same
	}
	// The end of the peer's connection cancels the attempt only as the peer itself would: what
	// has begun and is not idempotent goes on.
	peerCtx := ctx
	ctx, cancelWithCause := context.WithCancelCause(trace.ContextWithSpan(context.WithoutCancel(ctx), span))
	ctx, cancel := context.WithTimeout(ctx, attempt.Timeout)
	defer cancel()
	defer in.openAttempts.add(&attempt, cancelWithCause)()
	defer context.AfterFunc(peerCtx, func() { in.cancel(attempt.ID) })()
	response := in.withTrace(span, &attempt, func() AttemptResponse { return in.admit(ctx, &attempt, span) })
	in.Counters.completed(response.Outcome)
	return response, nil
}

// withTrace traces the handling of an attempt.
func (in *Inbound) withTrace(span trace.Span, attempt *Attempt, handle func() AttemptResponse) AttemptResponse {
	event := trace.Event{Route: attempt.Route, Service: attempt.Service, Caller: attempt.Caller, Instance: attempt.Instance, Attempt: attempt.Number}
	in.Spans.Put(span, trace.ServerReceive, event)
	response := handle()
	event.Status, event.Outcome, event.Reason = response.Status, string(response.Outcome), response.Reason
	in.Spans.Put(span, trace.ServerSend, event)
	return response
}

// deadline returns the deadline of ctx; zero if it has none.
func deadline(ctx context.Context) time.Time {
	t, _ := ctx.Deadline()
	return t
}
