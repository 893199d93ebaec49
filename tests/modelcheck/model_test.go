package modelcheck

import (
	"flag"
	"strings"
	"testing"
)

// states limits the number of states of each run.
var states = flag.Int("states", 0, "number of states after which each run stops; zero means no limit")

// TestEveryInterleaving checks that the invariants hold in every interleaving of each scenario, within
// its bounds.
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
			if len(result.Outcomes) == 0 {
				t.Error("no command got a result")
			}
		})
	}
}
