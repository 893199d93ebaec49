package soak

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/ledger"
)

const (
	// maxBreachReports is the largest number of breaches that are reported in detail.
	maxBreachReports = 5
	// maxLogLines is the largest number of log lines that are quoted for one instance.
	maxLogLines = 40
)

// breachReport describes the request of a breach: the record of its client, its runs, the work on
// it, the faults at that time, and the log lines that mention the backends that ran it. It returns
// only the breach if the breach concerns no recorded request.
func (r *Run) breachReport(b ledger.Breach) string {
	out := []string{b.String()}
	i := slices.IndexFunc(r.exchanges.all, func(x fakes.Exchange) bool { return x.ID == b.ID })
	if i < 0 {
		return b.String()
	}
	x := r.exchanges.all[i]
	line, _ := json.Marshal(x)
	out = append(out, fmt.Sprintf("  sent at %.3f s: %s", x.SentAt.Sub(r.began).Seconds(), line))
	runs, work := r.Fleet.Ledger.Runs(b.ID)
	for _, run := range runs {
		out = append(out, fmt.Sprintf("  %.3f s request reaches %s", run.At.Sub(r.began).Seconds(), run.Instance))
		if leavingSince, ok := r.Fleet.Ledger.LeavingSince(run.Instance); ok {
			out = append(out, fmt.Sprintf("  %.3f s departure of %s is acknowledged", leavingSince.Sub(r.began).Seconds(), run.Instance))
		}
		out = append(out, r.logLines(run.Instance)...)
	}
	for _, work := range work {
		out = append(out, fmt.Sprintf("  %.3f s work on %s ends, planned to last %v", work.Ended.Sub(r.began).Seconds(), work.Instance, work.Duration))
	}
	for _, fault := range r.faults.in(x.SentAt.Add(-reconnectTime), x.EndedAt) {
		line, _ := json.Marshal(fault)
		out = append(out, fmt.Sprintf("  %.3f s %s", fault.From.Sub(r.began).Seconds(), line))
	}
	return strings.Join(out, "\n")
}

// logLines returns the log lines of all processes that mention an instance, at most maxLogLines.
func (r *Run) logLines(instance string) (out []string) {
	for _, p := range r.Fleet.Programs() {
		for line := range strings.Lines(p.Stdout()) {
			if strings.Contains(line, instance) && len(out) < maxLogLines {
				out = append(out, "    "+p.Name+": "+strings.TrimSpace(line))
			}
		}
	}
	return out
}
