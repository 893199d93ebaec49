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
	// maxNarratives is of how many breaches the story is told.
	maxNarratives = 5
	// maxLogLines is how many lines of the processes' own logs a story has at most.
	maxLogLines = 40
)

// narrative tells of a breach's request: how it went for its client, who ran it, what each of
// those had said, what was in trouble, and the processes' own lines on those that ran it.
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
		if left, ok := r.Fleet.Ledger.LeavingSince(run.Instance); ok {
			out = append(out, fmt.Sprintf("  %.3f s %s had said that it leaves, acknowledged", left.Sub(r.began).Seconds(), run.Instance))
		}
		out = append(out, r.logLines(run.Instance)...)
	}
	for _, w := range work {
		out = append(out, fmt.Sprintf("  %.3f s its work at %s ends, %v were planned", w.Ended.Sub(r.began).Seconds(), w.Instance, w.Duration))
	}
	for _, t := range r.faults.in(x.SentAt.Add(-contactTime), x.EndedAt) {
		line, _ := json.Marshal(t)
		out = append(out, fmt.Sprintf("  %.3f s %s", t.From.Sub(r.began).Seconds(), line))
	}
	return strings.Join(out, "\n")
}

// logLines are those of the processes' own output that name an instance.
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
