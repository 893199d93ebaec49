package metrics

import "curlewwalk/internal/transport"

// Transport returns the metrics of the connections between processes: messages and bytes by
// kind. The client side sent the calls that it counts, the server side received them.
func Transport(client, server *transport.Counters) []*Metric {
	sides := map[string]*transport.Counters{"client": client, "server": server}
	labels := []string{"side", "kind", "message"}
	return []*Metric{
		Counter("wire_messages_total", "Messages between processes.", labels, bySideAndKind(sides, func(c transport.CallCounts) (calls, responses uint64) {
			return c.Calls, c.Responses
		})),
		Counter("wire_bytes_total", "Bytes of messages between processes, framing included.", labels, bySideAndKind(sides, func(c transport.CallCounts) (calls, responses uint64) {
			return c.CallBytes, c.ResponseBytes
		})),
	}
}

// bySideAndKind reads one figure of calls and one of responses from all counters.
func bySideAndKind(sides map[string]*transport.Counters, pick func(c transport.CallCounts) (calls, responses uint64)) ReadFunc {
	return func(emit EmitFunc) {
		for side, counters := range sides {
			for kind, counts := range counters.Snapshot() {
				calls, responses := pick(counts)
				emit(float64(calls), side, kind, "request")
				emit(float64(responses), side, kind, "response")
			}
		}
	}
}
