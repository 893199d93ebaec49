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
	// maxNarratives is for how many breaches a narrative is written.
	maxNarratives = 5
	// maxLogLines is how many lines of the processes' logs a narrative has at most.
	maxLogLines = 40
)

// narrative describes the request of a breach: how it went for its client, where it ran, the faults
// at that time, and the log lines on the backends that ran it.
func (r *Run) narrative(b ledger.Breach) string {
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
		out = append(out, fmt.Sprintf("  %.3f s reaches %s", run.At.Sub(r.began).Seconds(), run.Instance))
		if leavingSince, ok := r.Fleet.Ledger.LeavingSince(run.Instance); ok {
			out = append(out, fmt.Sprintf("  %.3f s %s had announced that it is leaving, acknowledged", leavingSince.Sub(r.began).Seconds(), run.Instance))
		}
		out = append(out, r.logLines(run.Instance)...)
	}
	for _, work := range work {
		out = append(out, fmt.Sprintf("  %.3f s its work at %s ends, planned were %v", work.Ended.Sub(r.began).Seconds(), work.Instance, work.Duration))
	}
	for _, t := range r.faults.in(x.SentAt.Add(-contactTime), x.EndedAt) {
		line, _ := json.Marshal(t)
		out = append(out, fmt.Sprintf("  %.3f s %s", t.From.Sub(r.began).Seconds(), line))
	}
	return strings.Join(out, "\n")
}

// logLines are the lines of the processes' logs that contain an instance.
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
