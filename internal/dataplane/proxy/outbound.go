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

// OutboundConfig is how an Outbound treats requests.
type OutboundConfig struct {
	// Zone is the zone of this node; its backends are preferred.
	Zone string
	// LocalService is the service that all callers on this machine belong to; empty if they
	// belong to several, or to none.
	LocalService string
	// EjectionTime is how long a backend that failed is avoided.
	EjectionTime time.Duration
	// WaitShare is for how long a request may wait for a backend with capacity, as a share of
	// its latency target.
	WaitShare float64
	// MinRetryAfter is the least time after which a rejected client may send again.
	MinRetryAfter time.Duration
	// AcceptLate says that an answer past the latency target is better than none.
	AcceptLate bool
	// CrossZoneCost is the cost of sending a request of usual size to another zone, as a share
	// of the value of answering within the latency target.
	CrossZoneCost float64
}

// OutboundDeps is what an Outbound works with. All must be set, but for those that say
// otherwise.
type OutboundDeps struct {
	// Table and View return the newest snapshots of the routes and of the members.
	Table        func() *routing.Table
	View         func() *membership.View
	Transport    *transport.Client
	Actors       *actor.System
	Spans        *trace.Queue
	Log          *slog.Logger
	Causality    *causality.Tracker
	Reservations *idempotency.Store[Response]
	Bodies       *BodyLimiter
	RetryBudgets *retrybudget.ServiceBudgets
	Budgets      *retrybudget.LatencyBudgets
	Latencies    *routing.LatencyTable
	Dialect      Dialect
	// Lifetime ends when the node has to answer all requests that are still open; its cause is
	// ErrStopping if the node is being stopped.
	Lifetime context.Context
	// Draining tells whether clients' requests are rejected.
	Draining func() bool
	// ShutdownTime, if set, tells whether this node is being stopped, and when another node may
	// take its place: its requests must have ended by then. (DESIGN 11.3)
	ShutdownTime func() (end time.Time, stopping bool)
	// ConfigurationUnconfirmed, if set, tells that a newer configuration than this node's may
	// be in force.
	ConfigurationUnconfirmed func() bool
	// ConfigurationOutdated, if set, tells that a newer configuration is known to be in force
	// and has not arrived here for so long that this node's must not be used. (DESIGN 7.2)
	ConfigurationOutdated func() bool
}

// Outbound is the proxy's side of the callers: it takes their requests, and sends each in one
// or more attempts to the inbound sides of the sidecars beside the backends. (DESIGN 4, 10)
type Outbound struct {
	OutboundConfig
	OutboundDeps
	// KeyReplication copies the reservations of idempotency keys to other nodes. It is set
	// after NewOutbound, as its Restore callback is RestoreKey.
	KeyReplication *keyreplication.Owner
	Counters       Counters
	// RouteCounters counts the requests that have ended, by route and outcome.
	RouteCounters metrics.CounterVec
}

// NewOutbound returns an outbound side that serves requests through its Handler. It has no
// goroutines of its own.
func NewOutbound(c OutboundConfig, deps OutboundDeps) *Outbound {
	return &Outbound{OutboundConfig: c, OutboundDeps: deps}
}

// request is one client's request on its way.
type request struct {
	caller       string
	route        config.Route
	contract     config.Contract
	deadline     time.Time
	startedAt    time.Time
	targetTime   time.Time
	span         trace.Span
	cause        causality.Cause
	clientTraced bool // the client itself sent identifiers
	// clientTimeout is how long the client will wait; zero if it does not say.
	clientTimeout time.Duration
	client        *clientWatch
	template      Attempt
}

// maxLateness is how late the request may be at all.
func (req *request) maxLateness() time.Duration {
	return req.contract.Deadline.Duration - req.contract.LatencyTarget.Duration
}

// Handler serves requests of one caller: a backend service, or "" for clients.
func (n *Outbound) Handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Draining() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength != 0 {
			// net/http takes it off again at the end of the body. Without one it is
			// looking for the client's leaving already.
			http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
		}
		n.serve(caller, r).write(w, r)
	})
}

// serve takes a request and comes to its response.
func (n *Outbound) serve(caller string, r *http.Request) Response {
	n.Counters.Requests.Add(1)
	n.Counters.InFlight.Add(1)
	defer n.Counters.InFlight.Add(-1)
	response := n.handle(caller, r)
	n.Counters.completed(response.Fate)
	return response
}

func (n *Outbound) handle(caller string, r *http.Request) Response {
	begun := time.Now()
	// Calls of the own backends belong to requests that were handed over.
	if caller == "" && n.Draining() {
		return n.stoppingResponse(time.Second)
	}
	size, refusal := n.reserveBody(r)
	if refusal != nil {
		return *refusal
	}
	defer n.Bodies.Release(size)
	body, refusal := n.readBody(r)
	if refusal != nil {
		return *refusal
	}
	q := request{caller: caller, startedAt: begun}
	if q.route, q.contract, refusal = n.matchRoute(r); refusal != nil {
		return *refusal
	}
	metadata := n.prepareAttempt(&q, r, body)
	q.client = watchUnlessKeyed(r, metadata)
	defer func() {
		if left, after := q.client.finish(); left {
			n.Counters.clientDisconnected(after)
		}
	}()
	n.startSpan(n.Lifetime, &q, r.Header)
	if caller == "" && n.outlivesNode(q.deadline) {
		return n.stoppingResponse(n.retryAfter())
	}
	ctx, cancel := context.WithDeadline(trace.ContextWithSpan(n.Lifetime, q.span), q.deadline)
	defer cancel()
	response := n.runKeyed(ctx, &q, metadata.IdempotencyKey)
	if q.clientTraced {
		response.Header = response.Header.Clone()
		trace.WriteB3(response.Header, q.span)
	}
	n.RouteCounters.Inc(q.route.Name, string(response.Fate))
	return response
}

// prepareAttempt makes the attempt that all of a request's attempts are made of, and tells what the
// request says of itself.
func (n *Outbound) prepareAttempt(req *request, r *http.Request, body []byte) RequestMetadata {
	req.route.Service = routing.PickService(req.route, rand.IntN) // for all its attempts
	header := endToEnd(r.Header)
	metadata := n.Dialect.ParseRequest(r, header)
	// A trailer may say no more than a header.
	trailer := endToEnd(r.Trailer)
	n.Dialect.ParseRequest(r, trailer)
	req.clientTimeout = metadata.ClientTimeout
	req.template = Attempt{
		Service: req.route.Service, Route: req.route.Name, Priority: req.contract.Priority, Idempotent: req.route.Idempotent,
		Caller: cmp.Or(req.caller, n.LocalService), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: header, Trailer: trailer, Body: body,
	}
	return metadata
}

// stoppingResponse is the refusal of a node that is being stopped.
func (n *Outbound) stoppingResponse(back time.Duration) Response {
	return n.localReply(http.StatusServiceUnavailable, routing.NotRun, "this node is stopping", "", back)
}

// outlivesNode tells whether a request with a deadline may last longer than this node.
func (n *Outbound) outlivesNode(deadline time.Time) bool {
	if n.ShutdownTime == nil {
		return false
	}
	end, stopping := n.ShutdownTime()
	return stopping && deadline.After(end)
}

// watchUnlessKeyed watches a request's client. What runs under a key goes on without it: the answer is
// kept for a repeat of the key.
func watchUnlessKeyed(r *http.Request, metadata RequestMetadata) *clientWatch {
	if metadata.IdempotencyKey != "" {
		return ignoreClient()
	}
	return watchConnection(r.Context())
}

// matchRoute finds a request's route and contract, or how it is refused.
func (n *Outbound) matchRoute(r *http.Request) (config.Route, config.Contract, *Response) {
	refuse := func(status int, reason string, back time.Duration) (config.Route, config.Contract, *Response) {
		return config.Route{}, config.Contract{}, n.reject(status, reason, back)
	}
	if n.ConfigurationOutdated != nil && n.ConfigurationOutdated() {
		return refuse(http.StatusServiceUnavailable, "a newer configuration is in force, and not known here yet", n.retryAfter())
	}
	table := n.Table()
	route, contract, ok := table.Match(r.Host, r.URL.Path, r.Method)
	switch {
	case ok:
		return route, contract, nil
	case table.Revision == 0:
		return refuse(http.StatusServiceUnavailable, "no configuration is known here yet", time.Second)
	case n.ConfigurationUnconfirmed != nil && n.ConfigurationUnconfirmed():
		return refuse(http.StatusServiceUnavailable, "no way is known here, but a newer configuration may be in force", time.Second)
	}
	return refuse(http.StatusNotFound, "no way takes this inquiry", 0)
}

// localReply words an answer of our own.
func (n *Outbound) localReply(status int, f routing.Outcome, reason, trace string, back time.Duration) Response {
	return n.Dialect.BuildReply(LocalReply{Status: status, Outcome: f, Reason: reason, TraceID: trace, RetryAfter: back})
}

// startSpan ties the request to its cause and opens its span. (DESIGN 2.5)
func (n *Outbound) startSpan(ctx context.Context, req *request, h http.Header) {
	clientSpan, traced := trace.ReadB3(h)
	req.clientTraced = traced
	req.targetTime = req.startedAt.Add(req.contract.LatencyTarget.Duration)
	req.deadline = req.startedAt.Add(req.contract.Deadline.Duration)
	if req.clientTimeout > 0 && req.clientTimeout < req.contract.Deadline.Duration {
		req.deadline = req.startedAt.Add(req.clientTimeout)
	}
	if req.caller != "" {
		req.cause = n.Causality.Link(ctx, req.caller, req.route.Name, clientSpan)
		if e := req.cause.Deadline; !e.IsZero() && e.Before(req.deadline) {
			req.deadline = e
		}
		if req.cause.Priority > 0 {
			req.template.Priority = req.cause.Priority
		}
	}
	if req.caller == "" && n.LocalService != "" {
		// It says itself how long its client waits: what is inferred decides nothing.
		req.cause = n.Causality.LinkMixed(ctx, n.LocalService, req.route.Name, clientSpan, time.Until(req.deadline))
	}
	switch {
	case !req.cause.Parent.IsZero():
		req.span = req.cause.Parent.Child()
	case traced:
		req.span = clientSpan.Child()
	default:
		req.span = trace.Root()
	}
}

func (n *Outbound) localReplyTo(req *request, status int, f routing.Outcome, reason string, retry time.Duration) Response {
	return n.localReply(status, f, reason, req.span.Trace.String(), retry)
}
