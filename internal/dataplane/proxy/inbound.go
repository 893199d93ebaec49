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

// InboundConfig holds the settings of an Inbound.
type InboundConfig struct {
	// Incarnation is the random number that identifies this run of the process. Attempts for another
	// incarnation are refused.
	Incarnation uint64
	// HalfCapacityTime is how long after the start of this process, at most, a backend gets only half
	// of its capacity, because requests that an earlier process admitted may still be running. Zero
	// means that it gets its full capacity from the start.
	HalfCapacityTime time.Duration
}

// InboundDeps holds the dependencies of an Inbound. All fields are required.
type InboundDeps struct {
	Actors *actor.System
	// Endpoints and Table return the newest snapshots of this node's backends and of the routing
	// table.
	Endpoints func() endpoints.Registry
	Table     func() *routing.Table
	Spans     *trace.Queue
	Causality *causality.Tracker
	// LeaseHeld reports whether this node may admit attempts. It may not if it cannot confirm that
	// its configuration is the newest. (DESIGN 7.2)
	LeaseHeld func() bool
	// Draining reports whether new attempts are refused.
	Draining func() bool
	Bodies   *BodyLimiter
	Dialect  Dialect
}

// Inbound is the backend's side of the proxy on this node. Only the Inbound admits attempts to the
// backends of this node. (DESIGN 9)
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

// ConnectionsOpened returns the number of connections opened to backends.
func (in *Inbound) ConnectionsOpened() int64 { return in.pool.opened.Load() }

// ConnectionsReused returns the number of attempts that reused a pooled connection.
func (in *Inbound) ConnectionsReused() int64 { return in.pool.reused.Load() }

// errNotAttempt is the reply to a call that is not a valid Attempt. Its text is part of the
// protocol.
var errNotAttempt = errors.New("not a leg")

// HandleAttempt handles an attempt. It is the transport.Handler of KindAttempt.
func (in *Inbound) HandleAttempt(ctx context.Context, request transport.Request) (any, error) {
	var attempt Attempt
	if !request.Decode(&attempt) || !attempt.valid() {
		// The outbound side cancels the attempt after this error. The reply to the cancellation says
		// that the attempt has not run.
		return nil, errNotAttempt
	}
	in.Counters.Requests.Add(1)
	in.Counters.InFlight.Add(1)
	defer in.Counters.InFlight.Add(-1)
	span, traced := trace.SpanFromContext(ctx)
	if !traced {
		span = trace.Root() // the peer does not trace
	}
	// When the peer's connection closes, the attempt is canceled as if the peer had sent a
	// cancellation: an attempt that has begun and is not idempotent continues.
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

// withTrace records the trace events of an attempt around handle.
func (in *Inbound) withTrace(span trace.Span, attempt *Attempt, handle func() AttemptResponse) AttemptResponse {
	event := trace.Event{Route: attempt.Route, Service: attempt.Service, Caller: attempt.Caller, Instance: attempt.Instance, Attempt: attempt.Number}
	in.Spans.Put(span, trace.ServerReceive, event)
	response := handle()
	event.Status, event.Outcome, event.Reason = response.Status, string(response.Outcome), response.Reason
	in.Spans.Put(span, trace.ServerSend, event)
	return response
}

// deadline returns the deadline of ctx, or the zero time if it has none.
func deadline(ctx context.Context) time.Time {
	t, _ := ctx.Deadline()
	return t
}
