// Package proxy routes requests from callers to backends through two sidecars.
//
// The Outbound side runs in the caller's sidecar. It accepts an HTTP request, matches its route,
// and sends it in one or more sequential attempts, as chosen by its routing.Decision. Each attempt
// is a message to the Inbound side in the backend's sidecar. The inbound side admits the attempt,
// forwards it to the backend as an HTTP request, and replies with the backend's response. If there
// is no response, the reply says either that the attempt has not run and never will, or that it may
// have run. The outbound side cancels an attempt whose reply is lost. For such an attempt, only the
// inbound side's reply to the cancellation proves that it has not run. A request with an
// idempotency key runs at most once: its key is reserved on the caller's node and on other nodes,
// and repeats get the first request's response. If the first request is known not to have run, a
// repeat may run.
//
// A node is a sidecar. An incarnation is one run of a sidecar's process. A caller is a backend of
// the mesh, which is named by its service, or a client, whose service is the empty string. An
// attempt begins when the inbound side's AttemptLog records it as begun. A contract is the service
// level of a route: a latency target, a deadline and a priority. The outbound side rejects
// requests, and the inbound side refuses attempts.
//
// Call path of a request: Outbound.handle (outbound.go, request.go, body.go), runKeyed
// (idempotency.go), runAttempts (retry.go), sendAttempt (sendattempt.go), Inbound.HandleAttempt
// (inbound.go), admit and forward (admit.go), exchange (exchange.go, readresponse.go). Call path of
// a cancellation: cancelLost and cancelAsync (sendcancel.go), Inbound.HandleCancel (cancel.go).
// (DESIGN 4, 9, 10)
package proxy
