// Package routing chooses the backend of each attempt of a request and decides when no further
// attempt is sent.
//
// A Table is an immutable snapshot of the configured routes under one revision of the control
// state. Table.Match finds the route of a request and its contract, which sets the latency target
// and the deadline. A response after the latency target is late, and a response after the deadline
// is useless to the client.
//
// A Decision belongs to one request: the proxy calls it for the next Action, carries out the
// action, and records the result of each attempt. The Decision chooses the backend from a
// membership view. It weighs the cost of a retry or a cross-zone attempt against the probability of
// an answer in time, as measured by the LatencyTable. The package does no I/O and reads no clock
// except in the LatencyTable. (DESIGN 4, 15.4)
package routing
