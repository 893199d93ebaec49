package controlplane

import (
	"slices"
	"testing"

	"curlewwalk/internal/metrics"
	"curlewwalk/internal/transport"
	"curlewwalk/tests/golden"
)

// The encodings of the /v1 documents and of the reply to a join request are stable.
func TestGoldenDocuments(t *testing.T) {
	for name, sample := range map[string]any{"written": &writeResponse{}, "faulty": &validationError{}, "state": &stateResponse{}, "windows": &windowsResponse{}} {
		t.Run(name, func(t *testing.T) { golden.Value(t, golden.JSON, name+".json", sample) })
	}
	golden.Value(t, golden.Msgpack, "seat-response.msgpack", &joinReply{})
}

// The names and labels of the metrics are stable.
func TestGoldenMetrics(t *testing.T) {
	n := &Node{}
	all := slices.Concat(n.consensusMetrics(), n.membershipMetrics(), n.watchMetrics(), metrics.Transport(&transport.Counters{}, &transport.Counters{}))
	golden.Metrics(t, "metrics.txt", all)
}
