// Package proxy carries requests from callers to backends, through two sidecars.
//
// The Outbound beside the caller takes an HTTP request, finds its route, and sends it in one or
// more attempts, one after another, as its routing.Decision says. Each attempt is a message to
// the Inbound beside the backend, which admits it, puts it to the backend as an HTTP request,
// and replies with the backend's response or with what else is known: that the attempt has not
// run and never will, or that it may have run. An attempt whose reply is lost is canceled; only
// the inbound side's reply to that proves that it has not run. A request with an idempotency key runs
// once: its key is reserved here and on other nodes, and repeats get the first one's response.
//
// The way of a request: Outbound.handle (outbound.go, request.go, body.go), runKeyed
// (idempotency.go), runAttempts (retry.go), sendAttempt (sendattempt.go), Inbound.HandleAttempt
// (inbound.go), admit and forward (admit.go), exchange (exchange.go, readresponse.go). The way of
// a cancellation: cancelLost and cancelAsync (sendcancel.go), Inbound.HandleCancel (cancel.go).
// (DESIGN 4, 9, 10)
package proxy
