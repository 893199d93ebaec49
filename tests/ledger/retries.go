package ledger

import (
	"slices"
	"time"
)

const (
	retryWindow = 10 * time.Second
	retryShare  = 0.2
	// retryAllowance is what the brief's small allowance is taken for.
	retryAllowance = 20
)

// judgeRetries slides a window over the runs of each service: those beyond the
// first of each request are extra tries.
func (l *Ledger) judgeRetries(v *Verdict) {
	for service, runs := range l.runsByService() {
		slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
		judgeRetryWindows(v, service, runs)
	}
}

// run is a run as the window counts it: one beyond a request's first is extra.
type run struct {
	at    time.Time
	retry bool
}

func (l *Ledger) runsByService() map[string][]run {
	byService := map[string][]run{}
	for _, runs := range l.ran {
		for i, r := range runs {
			byService[r.Service] = append(byService[r.Service], run{at: r.At, retry: i > 0})
		}
	}
	return byService
}

// judgeRetryWindows checks each window that ends with a run; the runs are in order of
// time. The first window that has too many extra runs is told.
func judgeRetryWindows(v *Verdict, service string, runs []run) {
	first, retries, from := 0, 0, 0
	count := func(r run, n int) {
		if r.retry {
			retries += n
		} else {
			first += n
		}
	}
	for _, r := range runs {
		count(r, 1)
		for r.at.Sub(runs[from].at) > retryWindow {
			count(runs[from], -1)
			from++
		}
		if float64(retries) > retryShare*float64(first)+retryAllowance {
			v.breach(RuleRetryBudget, "", "%d extra tries to %s beside %d in 10 s", retries, service, first)
			return
		}
	}
}
