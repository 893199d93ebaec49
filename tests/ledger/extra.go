package ledger

import (
	"slices"
	"time"
)

const (
	extraWindow = 10 * time.Second
	extraShare  = 0.2
	// extraAllowance is what the brief's small allowance is taken for.
	extraAllowance = 20
)

// judgeExtra slides a window over the runs of each service: those beyond the
// first of each request are extra tries.
func (l *Ledger) judgeExtra(v *Verdict) {
	for service, runs := range l.runsByService() {
		slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
		judgeWindows(v, service, runs)
	}
}

// run is a run as the window counts it: one beyond a request's first is extra.
type run struct {
	at    time.Time
	extra bool
}

func (l *Ledger) runsByService() map[string][]run {
	byService := map[string][]run{}
	for _, runs := range l.ran {
		for i, r := range runs {
			byService[r.Service] = append(byService[r.Service], run{at: r.At, extra: i > 0})
		}
	}
	return byService
}

// judgeWindows checks each window that ends with a run; the runs are in order of
// time. The first window that has too many extra runs is told.
func judgeWindows(v *Verdict, service string, runs []run) {
	first, extra, from := 0, 0, 0
	count := func(r run, n int) {
		if r.extra {
			extra += n
		} else {
			first += n
		}
	}
	for _, r := range runs {
		count(r, 1)
		for r.at.Sub(runs[from].at) > extraWindow {
			count(runs[from], -1)
			from++
		}
		if float64(extra) > extraShare*float64(first)+extraAllowance {
			v.broken(RuleBudget, "", "%d extra tries to %s beside %d in 10 s", extra, service, first)
			return
		}
	}
}
