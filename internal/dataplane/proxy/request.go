package proxy

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/causality"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/trace"
)

// request is one request of a caller after its route has been matched.
type request struct {
	// caller is the backend service that sent the request. It is empty for a client.
	caller string
	// route is the matched route. Its Service is the service that was picked for this request.
	route config.Route
	// contract is the service level that the route refers to.
	contract config.Contract
	deadlines
	metadata RequestMetadata
	client   *clientWatch
	// cause is the request that caused this one, if a backend sent this one or is likely to have
	// sent it. Otherwise it is the zero value.
	cause causality.Cause
	span  trace.Span
	// clientTraced reports whether the caller sent trace headers.
	clientTraced bool
	// template holds the fields that all attempts of the request share.
	template Attempt
}

// routeMatch is the route of a request and its contract.
type routeMatch struct {
	route    config.Route
	contract config.Contract
}

// deadlines holds the points in time that bound a request.
type deadlines struct {
	startedAt time.Time
	// targetTime is when the request misses its latency target.
	targetTime time.Time
	// deadline is the time by which the request must have been answered.
	deadline time.Time
}

// newDeadlines returns the deadlines that a contract sets. A client timeout shorter than the
// contract's deadline replaces that deadline. clientTimeout is zero if the client sent none.
func newDeadlines(startedAt time.Time, contract config.Contract, clientTimeout time.Duration) deadlines {
	d := deadlines{
		startedAt:  startedAt,
		targetTime: startedAt.Add(contract.LatencyTarget.Duration),
		deadline:   startedAt.Add(contract.Deadline.Duration),
	}
	if clientTimeout > 0 && clientTimeout < contract.Deadline.Duration {
		d.deadline = startedAt.Add(clientTimeout)
	}
	return d
}

// matchRoute returns a request's route and contract, or the reason why the request cannot be sent.
func (o *Outbound) matchRoute(r *http.Request) (match routeMatch, rejection *routing.Failure) {
	if o.ConfigurationOutdated != nil && o.ConfigurationOutdated() {
		return routeMatch{}, configurationOutdated(o.retryAfter())
	}
	table := o.Table()
	route, contract, ok := table.Match(r.Host, r.URL.Path, r.Method)
	switch {
	case ok:
		return routeMatch{route, contract}, nil
	case table.Revision == 0:
		return routeMatch{}, rejectNoConfiguration
	case o.ConfigurationUnconfirmed != nil && o.ConfigurationUnconfirmed():
		return routeMatch{}, rejectRouteUnconfirmed
	}
	return routeMatch{}, rejectNoRoute
}

// newRequest builds a request from a caller's HTTP request. It picks the service of a split route,
// reads the request's metadata, sets its deadlines, links it to its cause and starts its span. The
// caller must stop the watch of the client with stopWatching.
func (o *Outbound) newRequest(caller string, startedAt time.Time, match routeMatch, r *http.Request, body []byte) *request {
	req := &request{caller: caller, route: match.route, contract: match.contract}
	req.route.Service = routing.PickService(req.route, rand.IntN)
	req.metadata, req.template = o.newTemplate(req, r, body)
	req.client = watchUnlessKeyed(r, req.metadata)
	req.deadlines = newDeadlines(startedAt, match.contract, req.metadata.ClientTimeout)
	clientSpan, traced := trace.ReadB3(r.Header)
	req.clientTraced = traced
	o.linkCause(req, clientSpan)
	req.span = req.newSpan(clientSpan)
	return req
}

// newTemplate builds the fields that all attempts of a request share, and reads the request's
// metadata.
func (o *Outbound) newTemplate(req *request, r *http.Request, body []byte) (RequestMetadata, Attempt) {
	header := endToEnd(r.Header)
	metadata := o.Dialect.ParseRequest(r, header)
	// Fields that only sidecars may set are removed from the trailer as they are from the header.
	trailer := endToEnd(r.Trailer)
	o.Dialect.ParseRequest(r, trailer)
	return metadata, Attempt{
		Service: req.route.Service, Route: req.route.Name, Priority: req.contract.Priority, Idempotent: req.route.Idempotent,
		Caller: cmp.Or(req.caller, o.LocalService), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: header, Trailer: trailer, Body: body,
	}
}

// watchUnlessKeyed watches a request's client. A request with an idempotency key continues after
// its client has disconnected, because its response is kept for a repeat.
func watchUnlessKeyed(r *http.Request, metadata RequestMetadata) *clientWatch {
	if metadata.IdempotencyKey != "" {
		return ignoreClient()
	}
	return watchConnection(r.Context())
}

// linkCause links a backend's request to the request that caused it. The request inherits the
// cause's priority, and the cause's deadline if that is earlier. A cause that was not found has
// neither. If clients and the backends of LocalService share an address, the likely cause is
// recorded in the trace only. (DESIGN 2.5)
func (o *Outbound) linkCause(req *request, clientSpan trace.Span) {
	if req.caller != "" {
		req.cause = o.Causality.Link(o.Lifetime, req.caller, req.route.Name, clientSpan)
		if end := req.cause.Deadline; !end.IsZero() && end.Before(req.deadline) {
			req.deadline = end
		}
		if req.cause.Priority > 0 {
			req.template.Priority = req.cause.Priority
		}
	}
	if req.caller == "" && o.LocalService != "" {
		// The request states its client's timeout itself, so the inferred cause changes neither its
		// priority nor its deadline.
		req.cause = o.Causality.LinkMixed(o.Lifetime, o.LocalService, req.route.Name, clientSpan, time.Until(req.deadline))
	}
}

// newSpan returns the request's span: a child of the cause's span if there is one, else a child of
// the client's span if the client sent one, else a new root span.
func (req *request) newSpan(clientSpan trace.Span) trace.Span {
	switch {
	case !req.cause.Parent.IsZero():
		return req.cause.Parent.Child()
	case req.clientTraced:
		return clientSpan.Child()
	}
	return trace.Root()
}

// maxLateness returns the longest time after its latency target at which the request may still be
// answered.
func (req *request) maxLateness() time.Duration {
	return req.contract.Deadline.Duration - req.contract.LatencyTarget.Duration
}
