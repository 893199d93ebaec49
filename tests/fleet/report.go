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

// Report sums up what callers saw.
type Report struct {
	mu    sync.Mutex
	plans map[string]*line
}

type line struct {
	took []time.Duration
	good int
	kept int // good and within the aim
	aim  time.Duration
}

// Saw takes one answer.
func (r *Report) Saw(p fakes.Plan, a ledger.Answered, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plans == nil {
		r.plans = map[string]*line{}
	}
	l := r.plans[p.Name]
	if l == nil {
		l = &line{aim: p.Aim}
		r.plans[p.Name] = l
	}
	l.took = append(l.took, took)
	if a.Status == 200 && a.Outcome == "" {
		l.good++
		if took <= l.aim {
			l.kept++
		}
	}
}

// String is the report as text.
func (r *Report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.plans)) {
		l := r.plans[name]
		slices.Sort(l.took)
		q := func(x float64) time.Duration {
			return l.took[int(x*float64(len(l.took)-1))].Round(100 * time.Microsecond)
		}
		fmt.Fprintf(&b, "%-18s %6d sent %6d good  half %8v  95%% %8v  99%% %8v  good within aim %5.1f%%\n",
			name, len(l.took), l.good, q(0.5), q(0.95), q(0.99), 100*float64(l.kept)/float64(len(l.took)))
	}
	return b.String()
}
