package relay

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"curlewwalk/claim"
	"curlewwalk/contract"
	"curlewwalk/custody"
	"curlewwalk/desired"
	"curlewwalk/launch"
	"curlewwalk/lineage"
	"curlewwalk/membership"
	"curlewwalk/metrics"
	"curlewwalk/roster"
	"curlewwalk/routing"
	"curlewwalk/trace"
	"curlewwalk/wire"
)

// Near is the executor beside the caller.
type Near struct {
	Zone         string
	Table        func() *routing.Table
	View         func() *membership.View
	Net          *wire.Net
	Launcher     *launch.Launcher
	Queue        *trace.Queue
	Log          *slog.Logger
	Lineage      *lineage.Keeper
	Claims       *claim.Claims[Response]
	Custody      *custody.Owner
	Bodies       *Bodies
	RetryBudgets *contract.RetryBudgets
	Budgets      *contract.Budgets
	Costs        *routing.Costs
	// Life ends when the node has to answer whatever is still open, with ErrStopping as its
	// cause if it is being stopped.
	Life context.Context
	// Draining tells whether clients' requests are refused.
	Draining func() bool
	// StopsAt, if set, tells since when on what is taken may be anybody's, of a node that is
	// being stopped: it must have ended by then. (DESIGN 11.3)
	StopsAt func() (end time.Time, stopping bool)
	Counts  Counts
	// Routes counts the requests that have ended, by route and outcome.
	Routes  metrics.Labelled
	Dialect Dialect
	// Shun is how long a target that failed is left out.
	Shun time.Duration
	// Home is the service that all callers on this machine belong to, if one does.
	Home string
	// Hold is the part of its aim for which a request may be held for a place, and
	// ComeBack when a refused one may come again at the soonest.
	Hold     float64
	ComeBack time.Duration
	// Late says that an answer past the aim is better than none.
	Late bool
	// Crossing is the price of leaving the own zone with a usual request, as a part
	// of what being in time is worth.
	Crossing float64
	// Unsure, if set, tells that this sidecar is not sure of the newest word.
	Unsure func() bool
	// Behind, if set, tells that a newer word is in force elsewhere, and has been kept from
	// this sidecar for too long for its own to be followed. (DESIGN 7.2)
	Behind func() bool
}

// request is one client's request on its way.
type request struct {
	caller   string
	route    desired.Route
	contract desired.Contract
	deadline time.Time
	begun    time.Time
	aim      time.Time
	span     trace.Span
	cause    lineage.Cause
	traced   bool // the client itself sent identifiers
	// left is how long the client will wait; zero if it does not say.
	left    time.Duration
	client  *departure
	attempt Attempt
}

// room is how late the request may be at all.
func (q *request) room() time.Duration { return q.contract.Deadline.Duration - q.contract.Aim.Duration }

// Handler serves requests of one caller: a backend service, or "" for clients.
func (n *Near) Handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Draining() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength != 0 {
			// net/http takes it off again at the end of the body. Without one it is
			// looking for the client's leaving already.
			http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyFor))
		}
		n.serve(caller, r).write(w, r)
	})
}

func (n *Near) serve(caller string, r *http.Request) Response {
	begun := time.Now()
	n.Counts.Requests.Add(1)
	n.Counts.Open.Add(1)
	defer n.Counts.Open.Add(-1)
	// Calls of the own backends belong to requests that were handed over.
	if caller == "" && n.Draining() {
		return n.count(n.stopping(time.Second))
	}
	size := r.ContentLength
	if size < 0 {
		size = n.Bodies.Most // it will tell at its end
	}
	if size > n.Bodies.Most {
		return n.tooLarge()
	}
	if !n.Bodies.Take(size) {
		return n.count(n.word(http.StatusServiceUnavailable, routing.NotRun, "this node holds as many bodies as it can", "", time.Second))
	}
	defer n.Bodies.Give(size)
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, n.Bodies.Most))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return n.tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n.count(n.word(http.StatusRequestTimeout, routing.NotRun, "body took too long", "", time.Second))
	case err != nil:
		return n.count(n.word(http.StatusBadRequest, routing.NotRun, "body was cut short", "", 0))
	}
	if target("", r.RequestURI).RequestURI() != r.RequestURI {
		return n.count(n.word(http.StatusBadRequest, routing.NotRun, "this path can't be passed on as it is", "", 0))
	}
	q := request{caller: caller, begun: begun}
	var refusal *Response
	if q.route, q.contract, refusal = n.match(r); refusal != nil {
		return n.count(*refusal)
	}
	q.route.Service = routing.Pick(q.route, rand.IntN) // for all its attempts
	h := endToEnd(r.Header)
	said := n.Dialect.Hear(r, h)
	// A trailer may say no more than a header.
	trailer := endToEnd(r.Trailer)
	n.Dialect.Hear(r, trailer)
	q.left = said.Left
	q.attempt = Attempt{Service: q.route.Service, Route: q.route.Name, Rank: q.contract.Rank, Repeatable: q.route.Repeatable, Caller: cmp.Or(caller, n.Home), Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: h, Trailer: trailer, Body: body}
	q.client = n.watch(r, said)
	defer func() {
		if left, after := q.client.end(); left {
			n.Counts.left(after)
		}
	}()
	n.begin(n.Life, &q, r.Header)
	if caller == "" && n.outlasts(q.deadline) {
		return n.count(n.stopping(n.back()))
	}
	ctx, cancel := context.WithDeadline(trace.With(n.Life, q.span), q.deadline)
	defer cancel()
	rc := n.claimed(ctx, &q, said.Key)
	if q.traced {
		rc.Header = rc.Header.Clone()
		trace.WriteB3(rc.Header, q.span)
	}
	n.Routes.Add(q.route.Name, string(rc.Fate))
	return n.count(rc)
}

// stopping is the refusal of a node that is being stopped.
func (n *Near) stopping(back time.Duration) Response {
	return n.word(http.StatusServiceUnavailable, routing.NotRun, "this node is stopping", "", back)
}

// outlasts tells whether a request with a deadline may last longer than this node.
func (n *Near) outlasts(deadline time.Time) bool {
	if n.StopsAt == nil {
		return false
	}
	end, stopping := n.StopsAt()
	return stopping && deadline.After(end)
}

// watch watches a request's client. What runs under a key goes on without it: the answer is
// kept for a repeat of the key.
func (n *Near) watch(r *http.Request, said Said) *departure {
	if said.Key != "" {
		return ignoreClient()
	}
	return watchClient(r.Context())
}

func (n *Near) tooLarge() Response {
	return n.count(n.word(http.StatusRequestEntityTooLarge, routing.NotRun, fmt.Sprintf("body is over %d bytes", n.Bodies.Most), "", 0))
}

// word words an answer of our own.
// match finds a request's route and contract, or how it is refused.
func (n *Near) match(r *http.Request) (desired.Route, desired.Contract, *Response) {
	refuse := func(status int, reason string, back time.Duration) (desired.Route, desired.Contract, *Response) {
		refusal := n.word(status, routing.NotRun, reason, "", back)
		return desired.Route{}, desired.Contract{}, &refusal
	}
	if n.Behind != nil && n.Behind() {
		return refuse(http.StatusServiceUnavailable, "a newer configuration is in force, and not known here yet", n.back())
	}
	table := n.Table()
	route, contract, ok := table.Match(r.Host, r.URL.Path, r.Method)
	switch {
	case ok:
		return route, contract, nil
	case table.Stamp == 0:
		return refuse(http.StatusServiceUnavailable, "no configuration is known here yet", time.Second)
	case n.Unsure != nil && n.Unsure():
		return refuse(http.StatusServiceUnavailable, "no way is known here, but a newer configuration may be in force", time.Second)
	}
	return refuse(http.StatusNotFound, "no way takes this inquiry", 0)
}

func (n *Near) word(status int, f routing.Fate, reason, trace string, back time.Duration) Response {
	return n.Dialect.Word(Own{Status: status, Fate: f, Reason: reason, Trace: trace, Back: back})
}

func (n *Near) count(r Response) Response {
	n.Counts.ended(r.Fate)
	return r
}

// begin ties the request to its cause and opens its span. (DESIGN 2.5)
func (n *Near) begin(ctx context.Context, q *request, h http.Header) {
	told, traced := trace.ReadB3(h)
	q.traced = traced
	q.aim = q.begun.Add(q.contract.Aim.Duration)
	q.deadline = q.begun.Add(q.contract.Deadline.Duration)
	if q.left > 0 && q.left < q.contract.Deadline.Duration {
		q.deadline = q.begun.Add(q.left)
	}
	if q.caller != "" {
		q.cause = n.Lineage.Link(ctx, q.caller, q.route.Name, told)
		if e := q.cause.Deadline; !e.IsZero() && e.Before(q.deadline) {
			q.deadline = e
		}
		if q.cause.Rank > 0 {
			q.attempt.Rank = q.cause.Rank
		}
	}
	if q.caller == "" && n.Home != "" {
		// It says itself how long its client waits: what is inferred decides nothing.
		q.cause = n.Lineage.Mingled(ctx, n.Home, q.route.Name, told, time.Until(q.deadline))
	}
	switch {
	case !q.cause.Parent.IsZero():
		q.span = q.cause.Parent.Child()
	case traced:
		q.span = told.Child()
	default:
		q.span = trace.Root()
	}
}

// claimed runs the request under its Idempotency-Key, if it has one.
func (n *Near) claimed(ctx context.Context, q *request, text string) Response {
	if text == "" {
		return n.run(ctx, q)
	}
	if len(text) > longestKey {
		return n.own(q, http.StatusBadRequest, routing.NotRun, fmt.Sprintf("%s is over %d bytes", HeaderKey, longestKey), 0)
	}
	if !n.Custody.Ready() {
		// An earlier life of this node may have run what this repeats.
		return n.own(q, http.StatusServiceUnavailable, routing.Unknown, "claims on keys are still being handed over to this node", time.Second)
	}
	key := claim.Key{Caller: q.caller, Text: text}
	print := claim.Print(sha256.Sum256(bytes.Join([][]byte{[]byte(q.attempt.Method), []byte(q.attempt.Host), []byte(q.attempt.URI), q.attempt.Body}, []byte{0})))
	verdict, rc, err := n.Claims.Lay(ctx, key, print)
	switch {
	case err != nil && verdict == claim.Repeat:
		return n.own(q, http.StatusGatewayTimeout, routing.Unknown, "expired while the first inquiry of this key was running", time.Second)
	case verdict == claim.Crowded:
		return n.own(q, http.StatusServiceUnavailable, routing.NotRun, "too many keys are claimed", time.Second)
	case verdict == claim.Gone:
		return n.own(q, http.StatusBadGateway, routing.Unknown, "the first inquiry of this key has ended; its answer is kept no longer", time.Second)
	case verdict == claim.Clash:
		return n.own(q, http.StatusUnprocessableEntity, routing.NotRun, "this key was used for another inquiry", 0)
	case verdict == claim.Repeat:
		n.Counts.Joined.Add(1)
		return rc
	}
	trust, known, ok := n.Custody.Entrust(ctx, key, print, time.Until(q.deadline))
	keep := true
	switch {
	case known != nil && known.Print != print:
		rc, keep = n.own(q, http.StatusUnprocessableEntity, routing.NotRun, "this key was used for another inquiry", 0), false
	case known != nil:
		rc = n.restored(*known)
	case !ok:
		rc, keep = n.own(q, http.StatusServiceUnavailable, routing.NotRun, "the claim on this key could not be entrusted to other nodes", time.Second), false
		n.Custody.Settle(ctx, trust, nil)
	default:
		rc = n.run(ctx, q)
		keep = rc.Fate != routing.NotRun
		n.Custody.Settle(ctx, trust, rc.pack(keep))
	}
	n.Claims.Finish(n.Life, key, rc, keep)
	return rc
}

// Restore takes a claim of an earlier life of this node. (DESIGN 10.4)
func (n *Near) Restore(ctx context.Context, e custody.Entry) {
	n.Claims.Restore(ctx, e.Key, e.Print, n.restored(e))
}

// restored is the response of such a claim. Whether one without a response ran,
// nobody knows.
func (n *Near) restored(e custody.Entry) Response {
	rc, ok := unpack(e.Response)
	if !ok {
		rc = n.word(http.StatusBadGateway, routing.Unknown, "this node was restarted before the first inquiry of this key was answered", "", time.Second)
	}
	return rc
}

func (n *Near) own(q *request, status int, f routing.Fate, reason string, retry time.Duration) Response {
	return n.word(status, f, reason, q.span.Trace.String(), retry)
}

// run asks the decision and obeys, attempt by attempt.
func (n *Near) run(ctx context.Context, q *request) Response {
	d := routing.Decision{
		Route: q.route, Deadline: q.deadline, Zone: n.Zone, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Means: routing.Means{
			Aim: q.aim, Room: q.room(), Patience: n.Budgets.Patience(q.contract.Name, q.room()),
			Cost: func(t membership.Target) routing.Cost { return n.Costs.Of(q.route.Name, t) },
			Hold: n.hold(q), Back: n.back(), Late: n.Late, Crossing: n.crossing(q),
			Spend: func() bool { return n.RetryBudgets.Spend(q.route.Service) }, Unsure: n.Unsure, Unwanted: func() string { return n.unwanted(q) },
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
			n.Budgets.Ended(q.contract.Name, time.Since(q.begun), q.contract.Aim.Duration, q.contract.Deadline.Duration, rc.Fate == routing.Answered)
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
	return q.begun.Add(time.Duration(n.Hold * float64(q.contract.Aim.Duration)))
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
		n.RetryBudgets.Earn(q.route.Service)
	} else {
		n.Counts.ExtraAttempts.Add(1)
		span = q.span.Child()
		ctx = trace.With(ctx, span)
		n.Queue.Put(span, trace.ClientStart, trace.Event{Route: q.route.Name, Service: q.route.Service, Instance: t.Instance, Attempt: num})
	}
	attempt := q.attempt
	attempt.ID = span.ID.String() + "/" + trace.NewID().String()
	attempt.N, attempt.Instance, attempt.Boot, attempt.Patient = num, t.Instance, t.Boot, o.Patient
	attempt.Left = time.Until(q.deadline) - grace
	attempt.Aim = time.Until(q.aim) + n.Budgets.Patience(q.contract.Name, q.room()) - grace
	t.Load.Attempts.Add(1)
	sent := time.Now()
	over := q.client.during(func() { n.recallLater(ctx, t.Node, attempt) })
	r := n.Net.Call(ctx, t.Node, wire.Traffic, KindAttempt, attempt)
	over()
	t.Load.Attempts.Add(-1)
	if r.Traced {
		span.Hear(r.Span.Counter())
	}
	l := routing.Attempt{Target: t, Fate: routing.Unknown, Reason: "lost on the way", Reached: true}
	var rc AttemptResponse
	switch {
	case r.Fate == wire.Unsent:
		l.Fate, l.Reason, l.Reached = routing.NotRun, "node could not be reached", false
		t.Load.Shun(n.Shun)
	case r.Into(&rc) && rc.of(&attempt):
		l.Fate, l.Reason, l.Reached, l.Back, l.Expired = rc.Fate, rc.Reason, rc.Reached, rc.Back, rc.Reason == string(roster.Expired)
		l.Lapsed = rc.Fate == routing.NotRun && rc.Reason == string(roster.Lapsed)
		t.Load.Tell(rc.Open)
		if rc.Fate != routing.Answered && rc.Reason != string(roster.Full) && rc.Reason != string(roster.Recalled) {
			t.Load.Shun(n.Shun)
		}
	default:
		t.Load.Shun(n.Shun)
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
	ok = n.Net.Call(ctx, node, wire.Control, KindRecall, Recall{ID: attempt.ID, Boot: attempt.Boot}).Into(&rc)
	return rc, ok && rc.of(&attempt)
}
