package e2e

import (
	"testing"

	"curlewwalk/tests/day"
	"curlewwalk/tests/fleet"
)

// TestShortDay runs a short version of the test run of package day on a small fleet: some faults in a
// seeded order under load, a final fault, and a check of the stored configuration. The command
// tests/cmd/day makes full runs.
func TestShortDay(t *testing.T) {
	t.Parallel()
	f, err := fleet.New(smallFleet(), binaries)
	must(t, err)
	t.Cleanup(f.Close)
	d := day.New(f, 4, t.Output())
	v, err := d.Run(t.Context(), 3)
	must(t, err)
	for _, b := range v.Breaches {
		t.Error("broken rule: ", b)
	}
	if v.Succeeded == 0 {
		t.Error("no request succeeded")
	}
}
