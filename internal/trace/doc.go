// Package trace implements distributed tracing after Zipkin's model: spans with four events
// each, whose identifiers travel in B3 headers to clients and backends, and in a binary
// prefix between nodes. (DESIGN 2)
//
// The current span travels in the context of the work. Events are put onto a bounded Queue,
// which never delays the traffic, and a Publisher sends them in batches to the collector of
// their trace.
package trace
