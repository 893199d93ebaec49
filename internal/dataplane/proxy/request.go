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

// request is one request of a caller, from the match of its route on.
type request struct {
	// caller is the backend service that sent it; empty for a client.
	caller string
	// route has as its Service the one that was picked for this request.
	route    config.Route
	contract config.Contract
	deadlines
	metadata RequestMetadata
	client   *clientWatch
	// cause is what the request was tied to, if a backend sent it.
	cause causality.Cause
	span  trace.Span
	// clientTraced says that the request came with trace headers of its own.
	clientTraced bool
	// template is what the request's attempts have in common.
	template Attempt
}

// routeMatch is the route of a request, and its contract.
type routeMatch struct {
	route    config.Route
	contract config.Contract
}

// deadlines are a request's points in time.
type deadlines struct {
	startedAt time.Time
	// targetTime is when the request misses its latency target.
	targetTime time.Time
	// deadline is when it must have been answered.
	deadline time.Time
}

// newDeadlines returns the deadlines that a contract sets. A client that waits for a shorter time
// brings the deadline forward; clientTimeout is zero if the client does not say.
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

// matchRoute finds a request's route and contract, or tells why it can't be sent.
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

// newRequest makes the request that a caller's HTTP request asks for: it picks the service of a
// split route, reads what the request says of itself, sets its deadlines, links it to its cause
// and opens its span. The watch of its client must be ended with stopWatching.
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

// newTemplate makes what the attempts of a request have in common, and reads what the request
// says of itself.
func (o *Outbound) newTemplate(req *request, r *http.Request, body []byte) (RequestMetadata, Attempt) {
	header := endToEnd(r.Header)
	metadata := o.Dialect.ParseRequest(r, header)
	// What must not be in a header must not be in a trailer either.
	trailer := endToEnd(r.Trailer)
	o.Dialect.ParseRequest(r, trailer)
	return metadata, Attempt{
		Service: req.route.Service, Route: req.route.Name, Priority: req.contract.Priority, Idempotent: req.route.Idempotent,
		Caller: cmp.Or(req.caller, o.LocalService), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: header, Trailer: trailer, Body: body,
	}
}

// watchUnlessKeyed watches a request's client. A request with an idempotency key goes on after
// its client has left: its response is kept for a repeat.
func watchUnlessKeyed(r *http.Request, metadata RequestMetadata) *clientWatch {
	if metadata.IdempotencyKey != "" {
		return ignoreClient()
	}
	return watchConnection(r.Context())
}

// linkCause ties a backend's request to the request that caused it: it inherits that one's
// priority, and its deadline if that is earlier. Where clients and the backends of LocalService
// share an address, a request is only traced to its likely cause. (DESIGN 2.5)
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
		// Such a request tells how long its client waits: what is inferred decides nothing.
		req.cause = o.Causality.LinkMixed(o.Lifetime, o.LocalService, req.route.Name, clientSpan, time.Until(req.deadline))
	}
}

// newSpan returns the request's span: a child of its cause's, else of its client's, else a new root.
func (req *request) newSpan(clientSpan trace.Span) trace.Span {
	switch {
	case !req.cause.Parent.IsZero():
		return req.cause.Parent.Child()
	case req.clientTraced:
		return clientSpan.Child()
	}
	return trace.Root()
}

// maxLateness returns how late the request may be at all.
func (req *request) maxLateness() time.Duration {
	return req.contract.Deadline.Duration - req.contract.LatencyTarget.Duration
}
