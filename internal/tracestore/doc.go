// Package tracestore stores the events of finished spans on a control plane node and builds the
// tree of a trace from them. (DESIGN 2.6)
//
// A sidecar publishes each trace to the live replica of its zone that ranks first for the trace ID.
// The events of one trace may therefore be on several replicas, and a reader of a trace must query
// all of them.
package tracestore
