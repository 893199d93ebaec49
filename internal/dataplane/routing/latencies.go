package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"curlewwalk/internal/membership"
)

const (
	// maxHistograms is the number of histograms from which unreliable histograms are evicted before
	// another one is added. It is no strict bound, since reliable histograms are kept.
	maxHistograms = 4096
	// minReportedWeight is the minimum total weight of a histogram in Reports.
	minReportedWeight = 0.01
	// reportResolution is the unit to which reported durations are rounded.
	reportResolution = 100 * time.Microsecond
)

// LatencyTable holds the latencies that a sidecar has measured, for each route at all backends and
// at each single backend. It is safe for concurrent use. (DESIGN 15.4)
type LatencyTable struct {
	start time.Time

	mu         sync.Mutex
	histograms map[histogramKey]*LatencyHistogram
}

// histogramKey identifies a histogram. The histogram of a route at all backends has an empty node
// and instance.
type histogramKey struct{ route, node, instance string }

// LatencyReport describes one histogram for operators.
type LatencyReport struct {
	Route        string `json:"way"`
	Node         string `json:"node,omitempty"`
	Instance     string `json:"instance,omitempty"`
	Median       string `json:"half"`
	Percentile95 string `json:"95%"`
	// Missed is the fraction of attempts that were not answered before the deadline.
	Missed float64 `json:"missed"`
	// Weight is the number of observations, with decayed observations counted by their remaining
	// weight.
	Weight float64 `json:"weight"`
}

// NewLatencyTable returns an empty table.
func NewLatencyTable() *LatencyTable {
	return &LatencyTable{histograms: map[histogramKey]*LatencyHistogram{}, start: time.Now()}
}

// Observe adds an attempt with the duration took or, if missed is set, an attempt that was not
// answered before the deadline of its request.
func (t *LatencyTable) Observe(route string, target membership.Target, took time.Duration, missed bool) {
	now := time.Since(t.start)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range []histogramKey{{route: route}, {route, target.Node, target.Instance}} {
		histogram := t.histograms[key]
		if histogram == nil {
			if len(t.histograms) >= maxHistograms {
				t.evict(now)
			}
			histogram = &LatencyHistogram{decayedAt: now}
			t.histograms[key] = histogram
		}
		histogram.observe(took, missed, now)
	}
}

// evict removes the histograms that are no longer reliable.
func (t *LatencyTable) evict(now time.Duration) {
	for key, histogram := range t.histograms {
		if histogram.decay(now); !histogram.Reliable() {
			delete(t.histograms, key)
		}
	}
}

// Estimate returns the histogram of a route at a backend. If that is not reliable, Estimate returns
// the histogram of the route at all backends, and if that is not reliable either, an empty
// histogram.
func (t *LatencyTable) Estimate(route string, target membership.Target) LatencyHistogram {
	now := time.Since(t.start)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range []histogramKey{{route, target.Node, target.Instance}, {route: route}} {
		if histogram := t.histograms[key]; histogram != nil {
			if histogram.decay(now); histogram.Reliable() {
				estimate := *histogram
				estimate.routeWide = key.instance == "" && key.node == ""
				return estimate
			}
		}
	}
	return LatencyHistogram{}
}

// Reports returns a report of each histogram, sorted by route, node and instance.
func (t *LatencyTable) Reports() []LatencyReport {
	now := time.Since(t.start)
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := []LatencyReport{}
	for key, histogram := range t.histograms {
		if histogram.decay(now); histogram.total < minReportedWeight {
			continue
		}
		reports = append(reports, LatencyReport{
			Route: key.route, Node: key.node, Instance: key.instance,
			Median: reportQuantile(histogram, 0.5), Percentile95: reportQuantile(histogram, 0.95),
			Missed: histogram.weights[bucketCount] / histogram.total, Weight: histogram.total,
		})
	}
	slices.SortFunc(reports, func(a, b LatencyReport) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Instance, b.Instance))
	})
	return reports
}

// reportQuantile formats a quantile of a histogram.
func reportQuantile(h *LatencyHistogram, share float64) string {
	d, ok := h.Quantile(share)
	if !ok {
		return "not in time"
	}
	return d.Round(reportResolution).String()
}
