package metrics

import "curlewwalk/internal/transport"

// Transport are the metrics of the connections between processes: messages and bytes
// by kind. The client side sent the requests that it counts, the server side
// received them.
func Transport(client, server *transport.Counters) []*Metric {
	labels := []string{"side", "kind", "message"}
	each := func(pick func(c transport.CallCounts) (requests, responses uint64)) ReadFunc {
		return func(emit EmitFunc) {
			for side, counts := range map[string]*transport.Counters{"client": client, "server": server} {
				for kind, count := range counts.Snapshot() {
					requests, responses := pick(count)
					emit(float64(requests), side, kind, "request")
					emit(float64(responses), side, kind, "response")
				}
			}
		}
	}
	return []*Metric{
		Counter("wire_messages_total", "Messages between processes.", labels, each(func(c transport.CallCounts) (uint64, uint64) {
			return c.Calls, c.Responses
		})),
		Counter("wire_bytes_total", "Bytes of messages between processes, framing included.", labels, each(func(c transport.CallCounts) (uint64, uint64) {
			return c.CallBytes, c.ResponseBytes
		})),
	}
}
