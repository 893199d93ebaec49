package controlplane

import (
	"slices"
	"testing"

	"curlewwalk/internal/metrics"
	"curlewwalk/internal/transport"
	"curlewwalk/tests/golden"
)

// The /v1 documents and the reply to a join request keep their bytes.
func TestGoldenDocuments(t *testing.T) {
	for name, sample := range map[string]any{"written": &writeResponse{}, "faulty": &validationError{}, "state": &stateResponse{}, "windows": &windowsResponse{}} {
		t.Run(name, func(t *testing.T) { golden.Value(t, golden.JSON, name+".json", sample) })
	}
	golden.Value(t, golden.Msgpack, "seat-response.msgpack", &joinReply{})
}

// The metrics keep their names and labels.
func TestGoldenMetrics(t *testing.T) {
	n := &Node{}
	all := slices.Concat(n.consensusMetrics(), n.membershipMetrics(), n.watchMetrics(), metrics.Transport(&transport.Counters{}, &transport.Counters{}))
	golden.Metrics(t, "metrics.txt", all)
}
