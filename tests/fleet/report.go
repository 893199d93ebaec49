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

// Report sums up what clients got, by request plan.
type Report struct {
	mu    sync.Mutex
	plans map[string]*planStats
}

// planStats are the answers to the requests of one plan.
type planStats struct {
	latencies     []time.Duration
	good          int
	withinTarget  int // good, and within the latency target
	latencyTarget time.Duration
}

// Record takes in one answer.
func (r *Report) Record(p fakes.RequestPlan, a ledger.Answered, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plans == nil {
		r.plans = map[string]*planStats{}
	}
	l := r.plans[p.Name]
	if l == nil {
		l = &planStats{latencyTarget: p.LatencyTarget}
		r.plans[p.Name] = l
	}
	l.latencies = append(l.latencies, took)
	if a.Status == 200 && a.Outcome == "" {
		l.good++
		if took <= l.latencyTarget {
			l.withinTarget++
		}
	}
}

// String prints a line for each plan.
func (r *Report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.plans)) {
		l := r.plans[name]
		slices.Sort(l.latencies)
		q := func(x float64) time.Duration {
			return l.latencies[int(x*float64(len(l.latencies)-1))].Round(100 * time.Microsecond)
		}
		fmt.Fprintf(&b, "%-18s %6d sent %6d good  half %8v  95%% %8v  99%% %8v  good within target %5.1f%%\n",
			name, len(l.latencies), l.good, q(0.5), q(0.95), q(0.99), 100*float64(l.withinTarget)/float64(len(l.latencies)))
	}
	return b.String()
}
