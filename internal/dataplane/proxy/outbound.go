package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"curlewwalk/internal/actor"
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
	Table          func() *routing.Table
	View           func() *membership.View
	Transport      *transport.Client
	Actors         *actor.System
	Spans          *trace.Queue
	Log            *slog.Logger
	Causality      *causality.Tracker
	Reservations   *idempotency.Store[Response]
	Bodies         *BodyLimiter
	RetryBudgets   *retrybudget.ServiceBudgets
	LatencyBudgets *retrybudget.LatencyBudgets
	Latencies      *routing.LatencyTable
	Dialect        Dialect
	// Lifetime ends when the node has to answer all requests that are still open; its cause is
	// ErrStopping if the node is being stopped.
	Lifetime context.Context
	// RefusesClients reports whether clients' requests are rejected.
	RefusesClients func() bool
	// ShutdownTime, if set, reports whether this node is being stopped, and when another node may
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

// Handler serves the requests of one caller: a backend service, or "" for clients.
func (o *Outbound) Handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if o.RefusesClients() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength != 0 {
			// net/http takes the deadline off again at the end of the body. Where there is no
			// body, it is reading for the end of the connection already.
			http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
		}
		o.serve(caller, r).write(w, r)
	})
}

// serve handles a request and counts it.
func (o *Outbound) serve(caller string, r *http.Request) Response {
	o.Counters.Requests.Add(1)
	o.Counters.InFlight.Add(1)
	defer o.Counters.InFlight.Add(-1)
	response := o.handle(caller, r)
	o.Counters.completed(response.Outcome)
	return response
}

// handle takes a request through the steps of its way: its body is read, its route found, it is
// tied to what caused it, and then it is sent, under its idempotency key if it has one.
func (o *Outbound) handle(caller string, r *http.Request) Response {
	startedAt := time.Now()
	// Calls of this node's backends are still taken during a shutdown: they belong to requests
	// that were admitted before it.
	if caller == "" && o.RefusesClients() {
		return o.reject(nodeStopping(briefly))
	}
	size, rejection := o.reserveBody(r)
	if rejection != nil {
		return o.reject(rejection)
	}
	defer o.Bodies.Release(size)
	body, rejection := o.readBody(r)
	if rejection != nil {
		return o.reject(rejection)
	}
	if !isFaithfulTarget(r.RequestURI) {
		return o.reject(rejectPathNotFaithful)
	}
	match, rejection := o.matchRoute(r)
	if rejection != nil {
		return o.reject(rejection)
	}
	req := o.newRequest(caller, startedAt, match, r, body)
	defer o.stopWatching(req)
	if caller == "" && o.outlivesNode(req.deadline) {
		return o.reject(nodeStopping(o.retryAfter()))
	}
	return o.send(req)
}

// send sends a request, in the time until its deadline.
func (o *Outbound) send(req *request) Response {
	ctx, cancel := context.WithDeadline(trace.ContextWithSpan(o.Lifetime, req.span), req.deadline)
	defer cancel()
	response := o.runKeyed(ctx, req)
	if req.clientTraced {
		response.Header = response.Header.Clone()
		trace.WriteB3(response.Header, req.span)
	}
	o.RouteCounters.Inc(req.route.Name, string(response.Outcome))
	return response
}

// stopWatching ends the watch of a request's client, and counts the client if it has left.
func (o *Outbound) stopWatching(req *request) {
	if left, after := req.client.finish(); left {
		o.Counters.clientDisconnected(after)
	}
}

// outlivesNode reports whether a request with a deadline may last longer than this node.
func (o *Outbound) outlivesNode(deadline time.Time) bool {
	if o.ShutdownTime == nil {
		return false
	}
	end, stopping := o.ShutdownTime()
	return stopping && deadline.After(end)
}
