package modelcheck

import (
	"flag"
	"strings"
	"testing"
)

// states limits each run.
var states = flag.Int("states", 0, "end each run after so many states; zero: never")

// Every interleaving of each scenario under its bounds keeps the invariants.
func TestEveryInterleaving(t *testing.T) {
	for _, run := range ShortRuns {
		t.Run(run.Name, func(t *testing.T) {
			t.Parallel()
			if *states > 0 {
				run.States = *states
			}
			result := Explore(run.Scenario, run.Bounds)
			t.Logf("%+v: %s", run.Bounds, result)
			if result.Violation != "" {
				t.Errorf("%s after\n%s", result.Violation, strings.Join(result.Trace, "\n"))
			}
			if len(result.Answers) == 0 {
				t.Error("no command was answered")
			}
		})
	}
}
