// Package causality finds the inbound request that caused an outgoing call of a backend,
// although backends pass no trace context along. (DESIGN 2.5)
//
// A call is linked to its cause by the span that it carries, if it does; or because its
// service has only one open request; or by inference from what was learned of the calls
// that requests of each route make, and when. What is inferred is marked so, with all
// candidates, and takes the latest deadline and the highest priority among them: a wrong
// link must not fail a call that has time left.
//
// Correlator has the rules; Tracker runs a Correlator on one goroutine for the concurrent
// requests of a sidecar.
package causality
