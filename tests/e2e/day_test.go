package e2e

import (
	"testing"

	"curlewwalk/tests/day"
	"curlewwalk/tests/fleet"
)

// A short day of a small fleet: some failures in seeded order under load, a last one, and reading back.
// Whole days are run by tests/cmd/day.
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
	if v.Good == 0 {
		t.Error("nothing was answered")
	}
}
