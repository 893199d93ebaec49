package proxy

import (
	"context"
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
	// LeaseHeld tells whether this node may admit attempts.
	LeaseHeld func() bool
	// Draining tells whether new attempts are refused.
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
	f := &Inbound{InboundConfig: c, InboundDeps: deps, started: time.Now(), attemptLog: newAttemptLogActor()}
	deps.Actors.Go(ctx, "ledger", f.attemptLog.run)
	f.pool = newConnPool(ctx, deps.Actors, func(p backendAddress) bool { return f.Endpoints().IsActive(p.instance, p.address) })
	return f
}

// maxConnections is how many connections an own backend may have at a time.
func (f *Inbound) maxConnections(e endpoints.Endpoint) int {
	if s, _ := f.Table().Service(e.Service); s.MaxConnections > 0 {
		return min(s.MaxConnections, e.Capacity)
	}
	return e.Capacity
}

// warmupRate is the rate a second that an own backend bears now, if it is cold.
func (f *Inbound) warmupRate(e endpoints.Endpoint, at time.Time) (rate float64, ok bool) {
	rate = f.Table().WarmupRate(e.Service)
	return rate, rate > 0 && e.WarmingUp(at)
}

// ConnectionsOpened and Reused count the connections to backends that were opened, and the attempts
// that found one open.
func (f *Inbound) ConnectionsOpened() int64 { return f.pool.opened.Load() }

// ConnectionsReused is told with Opened.
func (f *Inbound) ConnectionsReused() int64 { return f.pool.reused.Load() }

// ConcurrencyLimit is how many requests an own backend may run at a time now.
func (f *Inbound) ConcurrencyLimit(e endpoints.Endpoint, at time.Time) int64 {
	t := f.Table()
	up := at.Sub(f.started)
	limit := min(e.ConcurrencyLimit(t.ZoneShare(e.Zone, at), up < f.HalfCapacityTime && t.EarlierRunsPossible(up), at), int64(f.maxConnections(e)))
	if rate, ok := f.warmupRate(e, at); ok {
		limit = max(1, min(limit, int64(rate)))
	}
	return limit
}

// HandleAttempt handles an attempt.
func (f *Inbound) HandleAttempt(ctx context.Context, request transport.Request) (any, string) {
	var attempt Attempt
	if !request.Decode(&attempt) || !attempt.valid() {
		return nil, "not a leg" // and never begun, as a recall will tell
	}
	f.Counters.Requests.Add(1)
	f.Counters.InFlight.Add(1)
	defer f.Counters.InFlight.Add(-1)
	span, traced := trace.SpanFromContext(ctx)
	note := trace.Event{Route: attempt.Route, Service: attempt.Service, Caller: attempt.Caller, Instance: attempt.Instance, Attempt: attempt.Number}
	if !traced {
		span = trace.Root() // an untraced peer is served all the same
	}
	// Nothing ends it by itself when its sender can't be answered any more: what must not
	// be repeated goes on.
	peer := ctx
	ctx, end := context.WithCancelCause(trace.ContextWithSpan(context.WithoutCancel(ctx), span))
	ctx, cancel := context.WithTimeout(ctx, attempt.Timeout)
	defer cancel()
	defer f.openAttempts.add(&attempt, end)()
	defer context.AfterFunc(peer, func() { f.cancel(attempt.ID) })()
	f.Spans.Put(span, trace.ServerReceive, note)
	response := f.admit(ctx, attempt, span)
	note.Status, note.Outcome, note.Reason = response.Status, string(response.Outcome), response.Reason
	f.Spans.Put(span, trace.ServerSend, note)
	f.Counters.completed(response.Outcome)
	return response, ""
}

// checkAdmission asks the gate. It is asked first, and again before the write.
func (f *Inbound) checkAdmission(ctx context.Context, attempt *Attempt) (endpoints.Endpoint, endpoints.Rejection) {
	switch {
	case attempt.Incarnation != f.Incarnation:
		return endpoints.Endpoint{}, endpoints.WrongIncarnation
	case ctx.Err() != nil:
		return endpoints.Endpoint{}, refusalFor(ctx)
	case !f.LeaseHeld():
		return endpoints.Endpoint{}, endpoints.LeaseExpired
	}
	return f.Endpoints().Admit(endpoints.AdmissionRequest{Service: attempt.Service, Instance: attempt.Instance}, f.Table().ZoneDrained, time.Now())
}

func deadline(ctx context.Context) time.Time {
	t, _ := ctx.Deadline()
	return t
}
