// Package idempotency ensures that a sidecar executes at most one request for each
// Idempotency-Key. The first request with a key reserves the key and is executed. A later
// request with the same key is a replay. A replay waits for the response to the first
// request, or gets the stored response. As long as the key is reserved, a replay is never
// executed, neither concurrently with the first request nor after it. (DESIGN 10.3)
//
// Table implements the rules and is not safe for concurrent use. Store runs a Table on one
// goroutine on behalf of the concurrent requests of a sidecar. Package keyreplication
// replicates reservations to other nodes, so that they survive the sidecar.
package idempotency
