// Package routing decides where a request goes and when its sending ends.
//
// A Table is an immutable snapshot of the configured routes, under one revision of the control
// state; Match finds a request's route and contract in it. A Decision belongs to one request:
// the proxy asks it for the next Action, carries that out, and records the result of each
// attempt. It chooses the backend from a membership view, and weighs what a retry or a
// cross-zone attempt costs against the chance of an answer in time, as the LatencyTable has
// learned it. The package does no input or output, and reads no clock but that of the
// LatencyTable. (DESIGN 4, 15.4)
package routing
