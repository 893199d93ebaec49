package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/ledger"
)

// Report collects the answers and latencies that clients observed, by request plan. It is safe for
// concurrent use.
type Report struct {
	mu    sync.Mutex
	plans map[string]*planStats
}

// planStats summarizes the answers to the requests of one plan.
type planStats struct {
	latencies     []time.Duration
	good          int
	withinTarget  int // good answers within the latency target
	latencyTarget time.Duration
}

// Record adds one answer to the report.
func (r *Report) Record(p fakes.RequestPlan, a ledger.Answered, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plans == nil {
		r.plans = map[string]*planStats{}
	}
	stats := r.plans[p.Name]
	if stats == nil {
		stats = &planStats{latencyTarget: p.LatencyTarget}
		r.plans[p.Name] = stats
	}
	stats.latencies = append(stats.latencies, took)
	if a.Status == 200 && a.Outcome == "" {
		stats.good++
		if took <= stats.latencyTarget {
			stats.withinTarget++
		}
	}
}

// String returns one line of text for each plan.
func (r *Report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.plans)) {
		stats := r.plans[name]
		slices.Sort(stats.latencies)
		quantile := func(fraction float64) time.Duration {
			return stats.latencies[int(fraction*float64(len(stats.latencies)-1))].Round(100 * time.Microsecond)
		}
		fmt.Fprintf(&b, "%-18s %6d sent %6d good  half %8v  95%% %8v  99%% %8v  good within target %5.1f%%\n",
			name, len(stats.latencies), stats.good, quantile(0.5), quantile(0.95), quantile(0.99), 100*float64(stats.withinTarget)/float64(len(stats.latencies)))
	}
	return b.String()
}
