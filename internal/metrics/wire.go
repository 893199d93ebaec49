package metrics

import "curlewwalk/internal/transport"

// Wire are the metrics of the connections between processes: messages and bytes
// by kind. The client side sent the requests that it counts, the server side
// received them.
func Wire(client, server *transport.Counts) []*Metric {
	labels := []string{"side", "kind", "message"}
	each := func(pick func(c transport.Count) (requests, responses uint64)) Read {
		return func(emit Emit) {
			for side, counts := range map[string]*transport.Counts{"client": client, "server": server} {
				for kind, count := range counts.Read() {
					requests, responses := pick(count)
					emit(float64(requests), side, kind, "request")
					emit(float64(responses), side, kind, "response")
				}
			}
		}
	}
	return []*Metric{
		Counter("wire_messages_total", "Messages between processes.", labels, each(func(c transport.Count) (uint64, uint64) {
			return c.Calls, c.Responses
		})),
		Counter("wire_bytes_total", "Bytes of messages between processes, framing included.", labels, each(func(c transport.Count) (uint64, uint64) {
			return c.CallBytes, c.ResponseBytes
		})),
	}
}
