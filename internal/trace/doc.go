// Package trace implements distributed tracing according to Zipkin's model: each span has four
// events. The identifiers of a span are sent in B3 headers between the mesh and its clients and
// backends, and in a binary prefix between nodes. (DESIGN 2)
//
// Within a process, a context carries the current span. Events are put into a bounded Queue, which
// never delays the traffic. A Publisher sends the events in batches to the collector of their trace.
package trace
