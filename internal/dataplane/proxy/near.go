package proxy

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/causality"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/metrics"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/transport"
)

// Near is the executor beside the caller.
type Near struct {
	Zone         string
	Table        func() *routing.Table
	View         func() *membership.View
	Net          *transport.Net
	Launcher     *actor.Launcher
	Queue        *trace.Queue
	Log          *slog.Logger
	Lineage      *causality.Tracker
	Claims       *idempotency.Store[Response]
	Custody      *keyreplication.Owner
	Bodies       *Bodies
	RetryBudgets *retrybudget.ServiceBudgets
	Budgets      *retrybudget.LatencyBudgets
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
	route    config.Route
	contract config.Contract
	deadline time.Time
	begun    time.Time
	aim      time.Time
	span     trace.Span
	cause    causality.Cause
	traced   bool // the client itself sent identifiers
	// left is how long the client will wait; zero if it does not say.
	left    time.Duration
	client  *departure
	attempt Attempt
}

// room is how late the request may be at all.
func (q *request) room() time.Duration {
	return q.contract.Deadline.Duration - q.contract.LatencyTarget.Duration
}

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

// serve takes a request and comes to its response.
func (n *Near) serve(caller string, r *http.Request) Response {
	n.Counts.Requests.Add(1)
	n.Counts.Open.Add(1)
	defer n.Counts.Open.Add(-1)
	rc := n.take(caller, r)
	n.Counts.ended(rc.Fate)
	return rc
}

func (n *Near) take(caller string, r *http.Request) Response {
	begun := time.Now()
	// Calls of the own backends belong to requests that were handed over.
	if caller == "" && n.Draining() {
		return n.stopping(time.Second)
	}
	size, refusal := n.reserve(r)
	if refusal != nil {
		return *refusal
	}
	defer n.Bodies.Give(size)
	body, refusal := n.read(r)
	if refusal != nil {
		return *refusal
	}
	q := request{caller: caller, begun: begun}
	if q.route, q.contract, refusal = n.match(r); refusal != nil {
		return *refusal
	}
	said := n.address(&q, r, body)
	q.client = watch(r, said)
	defer func() {
		if left, after := q.client.end(); left {
			n.Counts.left(after)
		}
	}()
	n.begin(n.Life, &q, r.Header)
	if caller == "" && n.outlasts(q.deadline) {
		return n.stopping(n.back())
	}
	ctx, cancel := context.WithDeadline(trace.ContextWithSpan(n.Life, q.span), q.deadline)
	defer cancel()
	rc := n.claimed(ctx, &q, said.Key)
	if q.traced {
		rc.Header = rc.Header.Clone()
		trace.WriteB3(rc.Header, q.span)
	}
	n.Routes.Add(q.route.Name, string(rc.Fate))
	return rc
}

// address makes the attempt that all of a request's attempts are made of, and tells what the
// request says of itself.
func (n *Near) address(q *request, r *http.Request, body []byte) Said {
	q.route.Service = routing.Pick(q.route, rand.IntN) // for all its attempts
	header := endToEnd(r.Header)
	said := n.Dialect.Hear(r, header)
	// A trailer may say no more than a header.
	trailer := endToEnd(r.Trailer)
	n.Dialect.Hear(r, trailer)
	q.left = said.Left
	q.attempt = Attempt{
		Service: q.route.Service, Route: q.route.Name, Rank: q.contract.Priority, Repeatable: q.route.Idempotent,
		Caller: cmp.Or(q.caller, n.Home), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: header, Trailer: trailer, Body: body,
	}
	return said
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
func watch(r *http.Request, said Said) *departure {
	if said.Key != "" {
		return ignoreClient()
	}
	return watchClient(r.Context())
}

// match finds a request's route and contract, or how it is refused.
func (n *Near) match(r *http.Request) (config.Route, config.Contract, *Response) {
	refuse := func(status int, reason string, back time.Duration) (config.Route, config.Contract, *Response) {
		return config.Route{}, config.Contract{}, n.refuse(status, reason, back)
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

// word words an answer of our own.
func (n *Near) word(status int, f routing.Fate, reason, trace string, back time.Duration) Response {
	return n.Dialect.Word(Own{Status: status, Fate: f, Reason: reason, Trace: trace, Back: back})
}

// begin ties the request to its cause and opens its span. (DESIGN 2.5)
func (n *Near) begin(ctx context.Context, q *request, h http.Header) {
	told, traced := trace.ReadB3(h)
	q.traced = traced
	q.aim = q.begun.Add(q.contract.LatencyTarget.Duration)
	q.deadline = q.begun.Add(q.contract.Deadline.Duration)
	if q.left > 0 && q.left < q.contract.Deadline.Duration {
		q.deadline = q.begun.Add(q.left)
	}
	if q.caller != "" {
		q.cause = n.Lineage.Link(ctx, q.caller, q.route.Name, told)
		if e := q.cause.Deadline; !e.IsZero() && e.Before(q.deadline) {
			q.deadline = e
		}
		if q.cause.Priority > 0 {
			q.attempt.Rank = q.cause.Priority
		}
	}
	if q.caller == "" && n.Home != "" {
		// It says itself how long its client waits: what is inferred decides nothing.
		q.cause = n.Lineage.LinkMixed(ctx, n.Home, q.route.Name, told, time.Until(q.deadline))
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

func (n *Near) own(q *request, status int, f routing.Fate, reason string, retry time.Duration) Response {
	return n.word(status, f, reason, q.span.Trace.String(), retry)
}
