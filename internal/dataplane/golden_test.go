package dataplane

import (
	"slices"
	"testing"

	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/metrics"
	"curlewwalk/internal/transport"
	"curlewwalk/tests/golden"
)

// What operators and backends read is what it has always been.
func TestGoldenDocuments(t *testing.T) {
	for name, sample := range map[string]any{"announced": &announceResponse{}, "backend": &backendView{}, "stats": &sidecarStats{}} {
		t.Run(name, func(t *testing.T) { golden.Value(t, golden.JSON, name+".json", sample) })
	}
}

// The metrics have the names and labels that they have always had.
func TestGoldenMetrics(t *testing.T) {
	s := &Sidecar{outbound: &proxy.Outbound{}}
	all := slices.Concat(s.trafficMetrics(), s.controlMetrics(), s.traceMetrics(), metrics.Transport(&transport.Counters{}, &transport.Counters{}))
	golden.Metrics(t, "metrics.txt", all)
}
