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

// OutboundConfig holds the settings of an Outbound.
type OutboundConfig struct {
	// Zone is the zone of this node. The proxy prefers backends in this zone.
	Zone string
	// LocalService is the service that all backends on this machine belong to. If it is set, their
	// requests may arrive at the same address as those of clients, with the empty string as the
	// caller. It is empty if the backends belong to several services, which have addresses of their
	// own, or to none.
	LocalService string
	// EjectionTime is how long the proxy does not choose a backend that failed.
	EjectionTime time.Duration
	// WaitShare is the longest time that a request may wait for a backend with capacity, as a share
	// of its latency target, from 0 to 0.5.
	WaitShare float64
	// MinRetryAfter is the shortest time after which a rejected client may retry.
	MinRetryAfter time.Duration
	// AcceptLate reports whether a response after the latency target is preferred to a rejection.
	AcceptLate bool
	// CrossZoneCost is the cost of sending a request of typical size to another zone, as a share of
	// the value of answering within the latency target.
	CrossZoneCost float64
}

// OutboundDeps holds the dependencies of an Outbound. All fields are required unless noted
// otherwise.
type OutboundDeps struct {
	// Table and View return the newest snapshots of the routing table and of the membership.
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
	// Lifetime is the context of all requests. It ends when the node must answer all requests that
	// are still open. Its cause is ErrStopping if the node is shutting down.
	Lifetime context.Context
	// RefusesClients reports whether the node rejects requests of clients, because it is shutting
	// down. If LocalService is set, it returns false while a backend of this node is running a
	// request, because the backend's own requests cannot be distinguished from those of clients.
	RefusesClients func() bool
	// ShutdownTime, if set, reports whether the shutdown of this node has reached the phase in which
	// requests of clients are refused, and the time by which requests that are still accepted must
	// have ended. (DESIGN 11.3)
	ShutdownTime func() (end time.Time, stopping bool)
	// ConfigurationUnconfirmed, if set, reports whether a newer configuration than this node's may
	// be in force.
	ConfigurationUnconfirmed func() bool
	// ConfigurationOutdated, if set, reports whether a newer configuration is known to be in force
	// and has been missing on this node for so long that the node's configuration must not be used.
	// (DESIGN 7.2)
	ConfigurationOutdated func() bool
}

// Outbound is the caller's side of the proxy. It accepts requests of callers and sends each in one
// or more attempts to the inbound sides of the backends' sidecars. (DESIGN 4, 10)
type Outbound struct {
	OutboundConfig
	OutboundDeps
	// KeyReplication replicates the reservations of idempotency keys to other nodes. It is set
	// after NewOutbound because its Restore callback is RestoreKey.
	KeyReplication *keyreplication.Owner
	Counters       Counters
	// RouteCounters counts completed requests by route and outcome. It omits requests that handle
	// rejected before send.
	RouteCounters metrics.CounterVec
}

// NewOutbound returns an outbound side that serves requests through its Handler. It starts no
// goroutines.
func NewOutbound(c OutboundConfig, deps OutboundDeps) *Outbound {
	return &Outbound{OutboundConfig: c, OutboundDeps: deps}
}

// Handler returns the handler for the requests of one caller. caller is the service of a backend,
// or "" for clients.
func (o *Outbound) Handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if o.RefusesClients() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength != 0 {
			// net/http clears the read deadline after the body has been read. For a request without
			// a body, net/http already reads in the background to detect that the client has closed
			// the connection, so no deadline is set.
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

// handle reads the request's body, matches its route, links the request to its cause, and sends the
// request, under its idempotency key if it has one.
func (o *Outbound) handle(caller string, r *http.Request) Response {
	startedAt := time.Now()
	// Requests of this node's backends are still accepted during a shutdown, because they belong to
	// requests that were admitted before it.
	if caller == "" && o.RefusesClients() {
		return o.reject(nodeStopping(transientRetryAfter))
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
	if !isPreservedTarget(r.RequestURI) {
		return o.reject(rejectTargetNotPreserved)
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

// send runs a request until its deadline, and returns the response for the client.
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

// stopWatching stops watching a request's client, and counts the client if it has disconnected.
func (o *Outbound) stopWatching(req *request) {
	if left, after := req.client.finish(); left {
		o.Counters.clientDisconnected(after)
	}
}

// outlivesNode reports whether a request with the given deadline may still be running at the
// ShutdownTime of this node.
func (o *Outbound) outlivesNode(deadline time.Time) bool {
	if o.ShutdownTime == nil {
		return false
	}
	end, stopping := o.ShutdownTime()
	return stopping && deadline.After(end)
}
