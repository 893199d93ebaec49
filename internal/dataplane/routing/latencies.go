package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"curlewwalk/internal/membership"
)

const (
	// maxHistograms is how many histograms there are before those without weight are dropped.
	maxHistograms = 4096 // (ours)
	// minReportedWeight is the least weight of a histogram that is shown to an operator.
	minReportedWeight = 0.01 // (ours)
	// reportResolution is what reported durations are rounded to.
	reportResolution = 100 * time.Microsecond
)

// LatencyTable is what a sidecar has learned of its routes' latency, for each route at all
// backends and at each single one. It is safe for concurrent use. (DESIGN 15.4)
type LatencyTable struct {
	start time.Time

	mu         sync.Mutex
	histograms map[histogramKey]*LatencyHistogram
}

// histogramKey identifies a histogram; without node and instance, it is that of the route at
// all backends.
type histogramKey struct{ route, node, instance string }

// LatencyReport shows one histogram to an operator.
type LatencyReport struct {
	Route        string `json:"way"`
	Node         string `json:"node,omitempty"`
	Instance     string `json:"instance,omitempty"`
	Median       string `json:"half"`
	Percentile95 string `json:"95%"`
	// Missed is the share of attempts that were not answered in time.
	Missed float64 `json:"missed"`
	// Weight is how many observations there are, those that have decayed counted as less.
	Weight float64 `json:"weight"`
}

// NewLatencyTable returns an empty table.
func NewLatencyTable() *LatencyTable {
	return &LatencyTable{histograms: map[histogramKey]*LatencyHistogram{}, start: time.Now()}
}

// Observe adds an attempt that took so long or, if missed, was not answered in time.
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

// evict drops the histograms that are not reliable any more.
func (t *LatencyTable) evict(now time.Duration) {
	for key, histogram := range t.histograms {
		if histogram.decay(now); !histogram.Reliable() {
			delete(t.histograms, key)
		}
	}
}

// Estimate returns what was learned of a route at a backend or, if that is too little, of the route
// at all backends; a zero histogram if that is too little as well.
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

// Reports shows all histograms, ordered by route, node and instance.
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

// reportQuantile shows a quantile of a histogram.
func reportQuantile(h *LatencyHistogram, share float64) string {
	d, ok := h.Quantile(share)
	if !ok {
		return "not in time"
	}
	return d.Round(reportResolution).String()
}
