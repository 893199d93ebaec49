package ledger

import (
	"slices"
	"time"
)

// The users' bound on retries: in any window of ten seconds a fifth of a service's first
// attempts, and a small allowance.
const (
	retryWindow    = 10 * time.Second
	retryShare     = 0.2
	retryAllowance = 20
)

// judgeRetries judges the retries to each service: the runs of a request beyond its first.
func (l *Ledger) judgeRetries(v *Verdict) {
	for service, runs := range l.runsByService() {
		slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
		judgeRetryWindows(v, service, runs)
	}
}

// run is a run as the windows count it.
type run struct {
	at    time.Time
	retry bool
}

// runsByService lists all runs by service, those of one request in the order of recording.
func (l *Ledger) runsByService() map[string][]run {
	byService := map[string][]run{}
	for _, runs := range l.ran {
		for i, r := range runs {
			byService[r.Service] = append(byService[r.Service], run{at: r.At, retry: i > 0})
		}
	}
	return byService
}

// judgeRetryWindows slides a window over the runs of a service, which are in the order of time.
// Only the first window with too many retries is reported.
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
			v.breach(RuleRetryBudget, "", "%d retries to %s beside %d first attempts in 10 s", retries, service, first)
			return
		}
	}
}
