package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"curlewwalk/internal/membership"
)

// LatencyTable are what a sidecar has learned of its ways, by backend. Many threads
// learn; each looks for a moment only. (DESIGN 15.4)
type LatencyTable struct {
	mu         sync.Mutex
	histograms map[histogramKey]*LatencyHistogram
	start      time.Time
}

type histogramKey struct{ route, node, instance string }

// LatencyReport shows one of them to an operator.
type LatencyReport struct {
	Route        string  `json:"way"`
	Node         string  `json:"node,omitempty"`
	Instance     string  `json:"instance,omitempty"`
	Median       string  `json:"half"`
	Percentile95 string  `json:"95%"`
	Missed       float64 `json:"missed"`
	Weight       float64 `json:"weight"`
}

const maxHistograms = 4096 // (ours)

// NewLatencyTable makes an empty table.
func NewLatencyTable() *LatencyTable {
	return &LatencyTable{histograms: map[histogramKey]*LatencyHistogram{}, start: time.Now()}
}

// Observe takes an attempt that came back after a while, or that did not in time.
func (c *LatencyTable) Observe(route string, t membership.Target, took time.Duration, missed bool) {
	now := time.Since(c.start)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range []histogramKey{{route: route}, {route, t.Node, t.Instance}} {
		histogram := c.histograms[key]
		if histogram == nil {
			if len(c.histograms) >= maxHistograms {
				c.evict(now)
			}
			histogram = &LatencyHistogram{decayedAt: now}
			c.histograms[key] = histogram
		}
		histogram.observe(took, missed, now)
	}
}

// evict drops what has aged away.
func (c *LatencyTable) evict(now time.Duration) {
	for key, histogram := range c.histograms {
		if histogram.decay(now); !histogram.Reliable() {
			delete(c.histograms, key)
		}
	}
}

// Estimate is what was learned of a way at a backend, or, if that is too little, of
// the way at all.
func (c *LatencyTable) Estimate(route string, t membership.Target) LatencyHistogram {
	now := time.Since(c.start)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range []histogramKey{{route, t.Node, t.Instance}, {route: route}} {
		if histogram := c.histograms[key]; histogram != nil {
			if histogram.decay(now); histogram.Reliable() {
				known := *histogram
				known.routeWide = key.instance == "" && key.node == ""
				return known
			}
		}
	}
	return LatencyHistogram{}
}

// Reports shows them all.
func (c *LatencyTable) Reports() []LatencyReport {
	now := time.Since(c.start)
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := []LatencyReport{}
	for key, histogram := range c.histograms {
		if histogram.decay(now); histogram.total < 0.01 {
			continue
		}
		report := LatencyReport{Route: key.route, Node: key.node, Instance: key.instance, Missed: histogram.weights[bucketCount] / histogram.total, Weight: histogram.total}
		for share, text := range map[float64]*string{0.5: &report.Median, 0.95: &report.Percentile95} {
			d, ok := histogram.Quantile(share)
			if *text = d.Round(100 * time.Microsecond).String(); !ok {
				*text = "not in time"
			}
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b LatencyReport) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Instance, b.Instance))
	})
	return reports
}
