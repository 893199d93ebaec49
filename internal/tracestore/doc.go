// Package tracestore collects the events of finished spans on a control plane node, and builds the
// tree of a trace from them. (DESIGN 2.6)
//
// A sidecar publishes each trace to the live replica of its zone that ranks first for the trace ID,
// so the events of one trace may be on several replicas; whoever reads a trace asks all of them.
package tracestore
