package metrics

import "curlewwalk/internal/transport"

// Transport returns the metrics of the connections between processes: the numbers of messages and
// of bytes, by kind of message. client counts the calls that this process sent, and server the calls
// that this process received.
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

// bySideAndKind returns a ReadFunc that emits two values for each side and each kind of message: the
// values that pick returns for calls and for responses.
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
