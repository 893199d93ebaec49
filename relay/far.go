package relay

import (
	"context"
	"time"

	"curlewwalk/launch"
	"curlewwalk/lineage"
	"curlewwalk/roster"
	"curlewwalk/routing"
	"curlewwalk/trace"
	"curlewwalk/wire"
)

// Far is the executor beside the backend. It alone admits. (DESIGN 9)
type Far struct {
	Boot    uint64
	Roster  func() roster.Roster
	Table   func() *routing.Table
	Queue   *trace.Queue
	Lineage *lineage.Keeper
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
func NewFar(ctx context.Context, l *launch.Launcher) *Far {
	f := &Far{started: time.Now(), ledger: newLedgerKeeper()}
	l.Go(ctx, "ledger", f.ledger.run)
	f.links = newLinks(ctx, l, func(p place) bool { return f.Roster().Stands(p.instance, p.address) })
	return f
}

// most is how many connections an own backend may have at a time.
func (f *Far) most(e roster.Entry) int {
	if s, _ := f.Table().Service(e.Service); s.Connections > 0 {
		return min(s.Connections, e.Capacity)
	}
	return e.Capacity
}

// cold is the rate a second that an own backend bears now, if it is cold.
func (f *Far) cold(e roster.Entry, at time.Time) (rate float64, ok bool) {
	rate = f.Table().ColdRate(e.Service)
	return rate, rate > 0 && e.Cold(at)
}

// Opened and Reused count the connections to backends that were opened, and the attempts
// that found one open.
func (f *Far) Opened() int64 { return f.links.opened.Load() }

// Reused is told with Opened.
func (f *Far) Reused() int64 { return f.links.reused.Load() }

// Limit is how many requests an own backend may run at a time now.
func (f *Far) Limit(e roster.Entry, at time.Time) int64 {
	t := f.Table()
	up := at.Sub(f.started)
	limit := min(e.Limit(t.Ramp(e.Zone, at), up < f.Halving && t.Fresh(up), at), int64(f.most(e)))
	if rate, ok := f.cold(e, at); ok {
		limit = max(1, min(limit, int64(rate)))
	}
	return limit
}

// Attempt handles an attempt.
func (f *Far) Attempt(ctx context.Context, in wire.Request) (any, string) {
	var attempt Attempt
	if !in.Into(&attempt) || !attempt.valid() {
		return nil, "not a leg" // and never begun, as a recall will tell
	}
	f.Counts.Requests.Add(1)
	f.Counts.Open.Add(1)
	defer f.Counts.Open.Add(-1)
	span, traced := trace.From(ctx)
	note := trace.Event{Route: attempt.Route, Service: attempt.Service, Caller: attempt.Caller, Instance: attempt.Instance, Attempt: attempt.N}
	if !traced {
		span = trace.Root() // an untraced peer is served all the same
	}
	// Nothing ends it by itself when its sender can't be answered any more: what must not
	// be repeated goes on.
	peer := ctx
	ctx, end := context.WithCancelCause(trace.With(context.WithoutCancel(ctx), span))
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
func (f *Far) check(ctx context.Context, attempt *Attempt) (roster.Entry, roster.Refusal) {
	switch {
	case attempt.Boot != f.Boot:
		return roster.Entry{}, roster.WrongBoot
	case ctx.Err() != nil:
		return roster.Entry{}, refusalOf(ctx)
	case !f.Claimed():
		return roster.Entry{}, roster.Lapsed
	}
	return f.Roster().Check(roster.Ask{Service: attempt.Service, Instance: attempt.Instance}, f.Table().Emptied, time.Now())
}

func (f *Far) carry(ctx context.Context, attempt Attempt, span trace.Span) AttemptResponse {
	refuse := func(why roster.Refusal, open int64) AttemptResponse {
		rc := AttemptResponse{ID: attempt.ID, Fate: routing.NotRun, Reason: string(why), Open: int(open)}
		if !f.ledger.ask(context.WithoutCancel(ctx), f.ledger.refuse, attempt.ID) {
			rc.Fate = routing.Unknown // it came before, and was begun
		}
		return rc
	}
	if f.Draining() {
		return refuse(roster.Draining, 0)
	}
	if size := int64(len(attempt.Body)); f.Bodies.Take(size) {
		defer f.Bodies.Give(size)
	} else {
		rc := refuse(roster.Full, 0)
		rc.Back = time.Second
		return rc
	}
	e, why := f.check(ctx, &attempt)
	if why != roster.Open {
		return refuse(why, 0)
	}
	limit := func() int64 {
		// The newest beat tells what the backend can bear now.
		now, why := f.check(ctx, &attempt)
		if why != roster.Open {
			now = e
		}
		return f.Limit(now, time.Now())
	}
	done, back := e.Desk.Enter(ctx, roster.Bid{Rank: attempt.Rank, Route: attempt.Route, Left: min(attempt.Left, attempt.Aim), Last: attempt.late()}, limit)
	if done == nil {
		why := roster.Full
		if ended := refusalOf(ctx); ended != roster.Expired {
			why = ended
		}
		rc := refuse(why, e.Desk.Open())
		rc.Back = back
		return rc
	}
	defer func() { done(refusalOf(ctx) == roster.Recalled) }()
	if !f.ledger.ask(ctx, f.ledger.begin, attempt.ID) {
		if ctx.Err() != nil {
			return refuse(refusalOf(ctx), 0)
		}
		return AttemptResponse{ID: attempt.ID, Fate: routing.Unknown, Reason: "this leg came before"}
	}
	var free time.Duration // when a cold backend may bear the next
	g := &guard{check: func() roster.Refusal {
		now, why := f.check(ctx, &attempt)
		if why == roster.Open && now.Address != e.Address {
			why = roster.NoBackend
		}
		if rate, cold := f.cold(now, time.Now()); cold && why == roster.Open {
			if ok, back := e.Desk.Drip(rate, time.Since(f.started)); !ok {
				free, why = back, roster.Full
			}
		}
		return why
	}}
	f.Lineage.Enter(ctx, lineage.Open{Span: span, Service: attempt.Service, Route: attempt.Route, Rank: attempt.Rank, Since: time.Now(), Deadline: deadline(ctx)})
	defer f.Lineage.Leave(span.ID)
	rc := f.exchange(ctx, e, &attempt, span, g)
	if rc.Fate == routing.Unknown && g.shut() {
		rc.Fate = routing.NotRun
		if why := g.why.Load(); why != nil {
			rc.Reason, rc.Back = string(*why), free
		}
	}
	rc.ID, rc.Open, rc.Reached = attempt.ID, int(e.Desk.Open()), g.state.Load() == guardWrote
	return rc
}

func deadline(ctx context.Context) time.Time {
	t, _ := ctx.Deadline()
	return t
}
