package modelcheck

import (
	"flag"
	"strings"
	"testing"
)

var states = flag.Int("states", 0, "end each run after so many states; zero: never")

// Every interleaving of each scenario under its bounds keeps the invariants.
func TestEveryInterleaving(t *testing.T) {
	for _, r := range Short {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			if *states > 0 {
				r.States = *states
			}
			res := Explore(r.Scenario, r.Bounds)
			t.Logf("%+v: %s", r.Bounds, res)
			if res.Broken != "" {
				t.Errorf("%s after\n%s", res.Broken, strings.Join(res.Trace, "\n"))
			}
			if len(res.Answers) == 0 {
				t.Error("no order was answered")
			}
		})
	}
}
