package dataplane

import (
	"slices"
	"testing"

	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/metrics"
	"curlewwalk/internal/transport"
	"curlewwalk/tests/golden"
)

// TestGoldenDocuments checks that the JSON documents read by operators and backends keep
// their field names.
func TestGoldenDocuments(t *testing.T) {
	for name, sample := range map[string]any{"announced": &announceResponse{}, "backend": &backendView{}, "stats": &sidecarStats{}} {
		t.Run(name, func(t *testing.T) { golden.Value(t, golden.JSON, name+".json", sample) })
	}
}

// TestGoldenMetrics checks that the metrics keep their names and labels.
func TestGoldenMetrics(t *testing.T) {
	s := &Sidecar{outbound: &proxy.Outbound{}}
	all := slices.Concat(s.trafficMetrics(), s.controlMetrics(), s.traceMetrics(), metrics.Transport(&transport.Counters{}, &transport.Counters{}))
	golden.Metrics(t, "metrics.txt", all)
}
