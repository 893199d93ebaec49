// Package idempotency executes the requests of one Idempotency-Key at most once on a
// sidecar. The first request with a key reserves it and is executed; a later request with
// the same key is a replay: it waits for the first one's response, or gets the stored
// one, and is never executed beside or after it. (DESIGN 10.3)
//
// Table holds the rules and has no concurrency of its own; Store runs a Table on one
// goroutine for the concurrent requests of a sidecar. Reservations are kept on other nodes
// as well by package keyreplication, so that they outlive the sidecar.
package idempotency
