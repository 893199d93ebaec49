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
	// mostStories is of how many breaches the story is told.
	mostStories = 5
	// mostLines is how many lines of the processes' own logs a story has at most.
	mostLines = 40
)

// story tells of a breach's request: how it went for its client, who ran it, what each of
// those had said, what was in trouble, and the processes' own lines on those that ran it.
func (r *Run) story(b ledger.Breach) string {
	out := []string{b.String()}
	i := slices.IndexFunc(r.requests.all, func(x fakes.Exchange) bool { return x.ID == b.ID })
	if i < 0 {
		return b.String()
	}
	x := r.requests.all[i]
	line, _ := json.Marshal(x)
	out = append(out, fmt.Sprintf("  sent at %.3f s: %s", x.Sent.Sub(r.begun).Seconds(), line))
	runs, work := r.Fleet.Ledger.Runs(b.ID)
	for _, run := range runs {
		out = append(out, fmt.Sprintf("  %.3f s reaches %s", run.At.Sub(r.begun).Seconds(), run.Instance))
		if left, ok := r.Fleet.Ledger.LeftAt(run.Instance); ok {
			out = append(out, fmt.Sprintf("  %.3f s %s had said that it leaves, acknowledged", left.Sub(r.begun).Seconds(), run.Instance))
		}
		out = append(out, r.lines(run.Instance)...)
	}
	for _, w := range work {
		out = append(out, fmt.Sprintf("  %.3f s its work at %s ends, %v were planned", w.Ended.Sub(r.begun).Seconds(), w.Instance, w.Work))
	}
	for _, t := range r.troubles.in(x.Sent.Add(-contact), x.Ended) {
		line, _ := json.Marshal(t)
		out = append(out, fmt.Sprintf("  %.3f s %s", t.From.Sub(r.begun).Seconds(), line))
	}
	return strings.Join(out, "\n")
}

// lines are those of the processes' own output that name an instance.
func (r *Run) lines(instance string) (out []string) {
	for _, p := range r.Fleet.Programs() {
		for line := range strings.Lines(p.Printed()) {
			if strings.Contains(line, instance) && len(out) < mostLines {
				out = append(out, "    "+p.Name+": "+strings.TrimSpace(line))
			}
		}
	}
	return out
}
