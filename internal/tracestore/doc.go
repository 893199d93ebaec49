// Package tracestore stores the events of finished spans on a control plane node and builds the
// tree of a trace from them. (DESIGN 2.6)
//
// A sidecar publishes its events of a trace to one live replica: the first in the rendezvous order
// of the trace ID among the replicas in the zone of the sidecar or, if none of these is live, among
// all replicas. The events of one trace may therefore be on several replicas, and a reader of a
// trace must query all of them.
package tracestore
