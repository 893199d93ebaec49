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

// Far is the executor beside the backend. It alone admits. (DESIGN 9)
type Far struct {
	Boot    uint64
	Roster  func() endpoints.Registry
	Table   func() *routing.Table
	Queue   *trace.Queue
	Lineage *causality.Tracker
	// Claimed tells whether this sidecar may admit.
	Claimed func() bool
	// Draining tells whether new attempts are still taken.
	Draining func() bool
	Counts   Counts
	Bodies   *Bodies
	Dialect  Dialect
	// Halving is for how long after the start a backend is given half, at most.
	Halving time.Duration

	started time.Time
	ledger  *ledgerKeeper
	open    openAttempts
	links   *links
}

// NewFar makes the far side and starts its ledger.
func NewFar(ctx context.Context, l *actor.Launcher) *Far {
	f := &Far{started: time.Now(), ledger: newLedgerKeeper()}
	l.Go(ctx, "ledger", f.ledger.run)
	f.links = newLinks(ctx, l, func(p place) bool { return f.Roster().IsActive(p.instance, p.address) })
	return f
}

// most is how many connections an own backend may have at a time.
func (f *Far) most(e endpoints.Endpoint) int {
	if s, _ := f.Table().Service(e.Service); s.MaxConnections > 0 {
		return min(s.MaxConnections, e.Capacity)
	}
	return e.Capacity
}

// cold is the rate a second that an own backend bears now, if it is cold.
func (f *Far) cold(e endpoints.Endpoint, at time.Time) (rate float64, ok bool) {
	rate = f.Table().ColdRate(e.Service)
	return rate, rate > 0 && e.WarmingUp(at)
}

// Opened and Reused count the connections to backends that were opened, and the attempts
// that found one open.
func (f *Far) Opened() int64 { return f.links.opened.Load() }

// Reused is told with Opened.
func (f *Far) Reused() int64 { return f.links.reused.Load() }

// Limit is how many requests an own backend may run at a time now.
func (f *Far) Limit(e endpoints.Endpoint, at time.Time) int64 {
	t := f.Table()
	up := at.Sub(f.started)
	limit := min(e.ConcurrencyLimit(t.Ramp(e.Zone, at), up < f.Halving && t.Fresh(up), at), int64(f.most(e)))
	if rate, ok := f.cold(e, at); ok {
		limit = max(1, min(limit, int64(rate)))
	}
	return limit
}

// Attempt handles an attempt.
func (f *Far) Attempt(ctx context.Context, in transport.Request) (any, string) {
	var attempt Attempt
	if !in.Into(&attempt) || !attempt.valid() {
		return nil, "not a leg" // and never begun, as a recall will tell
	}
	f.Counts.Requests.Add(1)
	f.Counts.Open.Add(1)
	defer f.Counts.Open.Add(-1)
	span, traced := trace.SpanFromContext(ctx)
	note := trace.Event{Route: attempt.Route, Service: attempt.Service, Caller: attempt.Caller, Instance: attempt.Instance, Attempt: attempt.N}
	if !traced {
		span = trace.Root() // an untraced peer is served all the same
	}
	// Nothing ends it by itself when its sender can't be answered any more: what must not
	// be repeated goes on.
	peer := ctx
	ctx, end := context.WithCancelCause(trace.ContextWithSpan(context.WithoutCancel(ctx), span))
	ctx, cancel := context.WithTimeout(ctx, attempt.Left)
	defer cancel()
	defer f.open.add(&attempt, end)()
	defer context.AfterFunc(peer, func() { f.recall(attempt.ID) })()
	f.Queue.Put(span, trace.ServerReceive, note)
	rc := f.carry(ctx, attempt, span)
	note.Status, note.Outcome, note.Reason = rc.Status, string(rc.Fate), rc.Reason
	f.Queue.Put(span, trace.ServerSend, note)
	f.Counts.ended(rc.Fate)
	return rc, ""
}

// check asks the gate. It is asked first, and again before the write.
func (f *Far) check(ctx context.Context, attempt *Attempt) (endpoints.Endpoint, endpoints.Rejection) {
	switch {
	case attempt.Boot != f.Boot:
		return endpoints.Endpoint{}, endpoints.WrongIncarnation
	case ctx.Err() != nil:
		return endpoints.Endpoint{}, refusalOf(ctx)
	case !f.Claimed():
		return endpoints.Endpoint{}, endpoints.LeaseExpired
	}
	return f.Roster().Admit(endpoints.AdmissionRequest{Service: attempt.Service, Instance: attempt.Instance}, f.Table().Emptied, time.Now())
}

func deadline(ctx context.Context) time.Time {
	t, _ := ctx.Deadline()
	return t
}
