// Package causality finds the inbound request that caused an outgoing call of a backend, even
// though backends do not propagate trace context. (DESIGN 2.5)
//
// A call is linked to its cause in one of three ways. If the call carries a span, it is
// linked to the request with that span. If its service has only one open request, it is
// linked to that request. Otherwise the cause is inferred from learned call patterns: which
// calls the requests of each route make, and when they make them.
//
// An inferred link is marked as inferred and lists all likely candidates. It takes the latest
// deadline and the highest priority of the candidates, because a wrong link must not fail a
// call that has time left.
//
// Correlator implements the rules. Tracker runs a Correlator on one goroutine on behalf of
// the concurrent requests of a sidecar.
package causality
