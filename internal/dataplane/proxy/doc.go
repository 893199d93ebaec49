// Package proxy routes requests from callers to backends through two sidecars.
//
// The Outbound side runs in the caller's sidecar. It accepts an HTTP request, matches its route,
// and sends it in one or more sequential attempts, as chosen by its routing.Decision. Each attempt
// is a message to the Inbound side in the backend's sidecar. The inbound side admits the attempt,
// forwards it to the backend as an HTTP request, and replies with the backend's response. If there
// is no response, the reply says either that the attempt has not run and never will, or that it may
// have run. The outbound side cancels an attempt whose reply is lost. Only the inbound side's reply
// to the cancellation proves that the attempt has not run. A request with an idempotency key runs
// once: its key is reserved on this node and on other nodes, and repeats get the first request's
// response.
//
// Call path of a request: Outbound.handle (outbound.go, request.go, body.go), runKeyed
// (idempotency.go), runAttempts (retry.go), sendAttempt (sendattempt.go), Inbound.HandleAttempt
// (inbound.go), admit and forward (admit.go), exchange (exchange.go, readresponse.go). Call path of
// a cancellation: cancelLost and cancelAsync (sendcancel.go), Inbound.HandleCancel (cancel.go).
// (DESIGN 4, 9, 10)
package proxy
