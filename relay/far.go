package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"curlewwalk/launch"
	"curlewwalk/lineage"
	"curlewwalk/roster"
	"curlewwalk/trace"
	"curlewwalk/way"
	"curlewwalk/wire"
)

// Far is the executor beside the backend. It alone admits. (DESIGN 9)
type Far struct {
	Boot    uint64
	Roster  func() roster.Roster
	Table   func() *way.Table
	Queue   *trace.Queue
	Lineage *lineage.Keeper
	// Claimed tells whether this sidecar may admit.
	Claimed func() bool
	// Draining tells whether new legs are still taken.
	Draining func() bool
	Counts   Counts
	Bodies   *Bodies
	Dialect  Dialect

	started time.Time
	ledger  *clerk
	client  http.RoundTripper
}

// NewFar makes the far side and starts its ledger.
func NewFar(ctx context.Context, l *launch.Launcher) *Far {
	f := &Far{started: time.Now(), ledger: newClerk()}
	l.Go(ctx, "ledger", f.ledger.run)
	// One connection a leg: no hidden second try on a reused one. Nothing is
	// added, unpacked or followed. (DESIGN 10.1)
	f.client = &http.Transport{DialContext: dialGuarded, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 1 << 20}
	return f
}

// Limit is how many inquiries an own backend may run at a time now.
func (f *Far) Limit(e roster.Entry, at time.Time) int64 {
	t := f.Table()
	return e.Limit(t.Ramp(e.Locality, at), t.Fresh(at.Sub(f.started)), at)
}

// Leg handles a leg.
func (f *Far) Leg(ctx context.Context, in wire.Inquiry) (any, string) {
	var leg Leg
	if !in.Into(&leg) {
		return nil, "not a leg"
	}
	f.Counts.Inquiries.Add(1)
	f.Counts.Open.Add(1)
	defer f.Counts.Open.Add(-1)
	span, traced := trace.From(ctx)
	note := trace.Event{Way: leg.Way, Service: leg.Service, Caller: leg.Caller, Instance: leg.Instance, Leg: leg.N}
	if !traced {
		span = trace.Root() // an untraced peer is served all the same
	}
	ctx, cancel := context.WithTimeout(trace.With(context.WithoutCancel(ctx), span), leg.Left)
	defer cancel()
	f.Queue.Put(span, trace.ServerReceive, note)
	rc := f.carry(ctx, leg, span)
	note.Status, note.Outcome, note.Reason = rc.Status, string(rc.Fate), rc.Reason
	f.Queue.Put(span, trace.ServerSend, note)
	f.Counts.ended(rc.Fate)
	return rc, ""
}

// Recall handles a recall.
func (f *Far) Recall(ctx context.Context, in wire.Inquiry) (any, string) {
	var q Recall
	if !in.Into(&q) {
		return nil, "not a recall"
	}
	rc := LegReceipt{ID: q.ID, Fate: way.Unknown, Reason: "it was begun, or begun before a restart"}
	if ask(ctx, f.ledger.refuse, q.ID) && q.Boot == f.Boot {
		rc.Fate, rc.Reason = way.NotRun, "recalled before it was begun"
	}
	return rc, ""
}

// check asks the gate. It is asked first, and again before the write.
func (f *Far) check(ctx context.Context, leg *Leg) (roster.Entry, roster.Refusal) {
	switch {
	case leg.Boot != f.Boot:
		return roster.Entry{}, roster.WrongBoot
	case ctx.Err() != nil:
		return roster.Entry{}, roster.Expired
	case !f.Claimed():
		return roster.Entry{}, roster.Lapsed
	}
	return f.Roster().Check(roster.Ask{Service: leg.Service, Instance: leg.Instance}, f.Table().Emptied, time.Now())
}

func (f *Far) carry(ctx context.Context, leg Leg, span trace.Span) LegReceipt {
	refuse := func(why roster.Refusal, open int64) LegReceipt {
		rc := LegReceipt{ID: leg.ID, Fate: way.NotRun, Reason: string(why), Open: int(open)}
		if !ask(context.WithoutCancel(ctx), f.ledger.refuse, leg.ID) {
			rc.Fate = way.Unknown // it came before, and was begun
		}
		return rc
	}
	if f.Draining() {
		return refuse(roster.Draining, 0)
	}
	if size := int64(len(leg.Body)); f.Bodies.Take(size) {
		defer f.Bodies.Give(size)
	} else {
		rc := refuse(roster.Full, 0)
		rc.Back = time.Second
		return rc
	}
	e, why := f.check(ctx, &leg)
	if why != roster.Open {
		return refuse(why, 0)
	}
	limit := func() int64 {
		// The newest beat tells what the backend can bear now.
		now, why := f.check(ctx, &leg)
		if why != roster.Open {
			now = e
		}
		return f.Limit(now, time.Now())
	}
	done, back := e.Desk.Enter(ctx, roster.Bid{Rank: leg.Rank, Way: leg.Way, Left: min(leg.Left, leg.Aim)}, limit)
	if done == nil {
		rc := refuse(roster.Full, e.Desk.Open())
		rc.Back = back
		return rc
	}
	defer done()
	if !ask(ctx, f.ledger.begin, leg.ID) {
		if ctx.Err() != nil {
			return refuse(roster.Expired, 0)
		}
		return LegReceipt{ID: leg.ID, Fate: way.Unknown, Reason: "this leg came before"}
	}
	g := &guard{check: func() roster.Refusal {
		now, why := f.check(ctx, &leg)
		if why == roster.Open && now.Address != e.Address {
			why = roster.NoBackend
		}
		return why
	}}
	f.Lineage.Enter(ctx, lineage.Open{Span: span, Service: leg.Service, Way: leg.Way, Rank: leg.Rank, Since: time.Now(), Expiry: deadline(ctx)})
	defer f.Lineage.Leave(context.WithoutCancel(ctx), span.ID)
	rc := f.exchange(context.WithValue(ctx, guardKey{}, g), e, &leg, span)
	if rc.Fate == way.Unknown && g.shut() {
		rc.Fate = way.NotRun
		if why := g.why.Load(); why != nil {
			rc.Reason = string(*why)
		}
	}
	rc.ID, rc.Open, rc.Reached = leg.ID, int(e.Desk.Open()), g.state.Load() == guardWrote
	return rc
}

func deadline(ctx context.Context) time.Time {
	t, _ := ctx.Deadline()
	return t
}

// exchange puts the inquiry to the backend and reads its whole answer.
func (f *Far) exchange(ctx context.Context, e roster.Entry, leg *Leg, span trace.Span) LegReceipt {
	unknown := func(reason string) LegReceipt {
		if ctx.Err() != nil {
			reason = string(roster.Expired)
		}
		return LegReceipt{Fate: way.Unknown, Reason: reason}
	}
	req := backendRequest(ctx, e.Address, leg)
	trace.WriteB3(req.Header, span)
	f.Dialect.Address(req.Header, leg, time.Until(deadline(ctx)))
	resp, err := f.client.RoundTrip(req)
	if err != nil {
		return unknown("backend: " + cause(err))
	}
	defer resp.Body.Close()
	switch f.Dialect.Judge(leg, resp.StatusCode, resp.Header) {
	case Declined:
		return LegReceipt{Fate: way.NotRun, Reason: "declined by the backend", Reached: true}
	case Elsewhere:
		return LegReceipt{Fate: way.NotRun, Reason: "another instance has the address", Reached: true}
	case Stray:
		return unknown("backend answered another inquiry")
	case False:
		return unknown("backend's answer claims what it can't")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && leg.Method != http.MethodHead {
		// Its end is only the connection's end, which a dying backend has too.
		return unknown("backend's answer does not tell its length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, f.Bodies.Most+1))
	switch {
	case err != nil:
		return unknown("backend's answer was cut short")
	case int64(len(body)) > f.Bodies.Most:
		return unknown("backend's answer is too large")
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return unknown("backend switched protocols")
	}
	h := endToEnd(resp.Header)
	if leg.Method == http.MethodHead && resp.Header.Get("Content-Length") != "" {
		h["Content-Length"] = resp.Header["Content-Length"]
	}
	h.Del(HeaderOutcome) // only ours may promise
	return LegReceipt{Fate: way.Answered, Status: resp.StatusCode, Header: h, Trailer: resp.Trailer, Body: body}
}

// backendRequest rebuilds the client's request as it was.
func backendRequest(ctx context.Context, addr string, leg *Leg) *http.Request {
	req := &http.Request{Method: leg.Method, URL: target(addr, leg.URI), Host: leg.Host, Header: leg.Header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // net/http would add its own
	}
	if len(leg.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(leg.Body))
		req.ContentLength = int64(len(leg.Body))
	}
	if len(leg.Trailer) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(leg.Body))
		req.ContentLength, req.Trailer = -1, leg.Trailer // trailers come behind chunks only
	}
	return req.WithContext(ctx)
}

// cause is the innermost reason of a transport's error.
func cause(err error) string {
	for next := err; next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return err.Error()
}
