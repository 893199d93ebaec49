package ledger

import (
	"slices"
	"time"
)

// The users' limit on retries: in any window of 10 s a service may get retries for a fifth of its
// first attempts, plus a fixed allowance of 20 retries.
const (
	retryWindow    = 10 * time.Second
	retryShare     = 0.2
	retryAllowance = 20
)

// judgeRetries checks the retry limit of each service. Every run of a request after its first is a
// retry.
func (l *Ledger) judgeRetries(v *Verdict) {
	for service, runs := range l.runsByService() {
		slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
		judgeRetryWindows(v, service, runs)
	}
}

// run is a run of a request, reduced to the fields that the window needs.
type run struct {
	at    time.Time
	retry bool
}

// runsByService returns all runs by service. Runs of one request are in the order in which they
// were recorded.
func (l *Ledger) runsByService() map[string][]run {
	byService := map[string][]run{}
	for _, runs := range l.ran {
		for i, r := range runs {
			byService[r.Service] = append(byService[r.Service], run{at: r.At, retry: i > 0})
		}
	}
	return byService
}

// judgeRetryWindows moves a window over the runs of a service, which must be sorted by time. It
// reports only the first window with too many retries.
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
			v.breach(RuleRetryBudget, "", "%d retries to %s with %d first attempts in 10 s", retries, service, first)
			return
		}
	}
}
