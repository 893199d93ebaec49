package routing

import (
	"math/rand/v2"
	"testing"

	"curlewwalk/internal/config"
)

// TestPickService checks that the services of a split are picked in proportion to their weights,
// and that services with zero weight are never picked.
func TestPickService(t *testing.T) {
	if got := PickService(config.Route{Service: "one"}, nil); got != "one" {
		t.Errorf("without a split: got %q, want \"one\"", got)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	route := config.Route{Split: []config.WeightedService{{Service: "none"}, {Service: "most", Weight: 95}, {Service: "few", Weight: 5}, {Service: "never"}}}
	picked := map[string]int{}
	for range 20000 {
		picked[PickService(route, rng.IntN)]++
	}
	if picked["most"] < 18800 || picked["most"] > 19200 || picked["most"]+picked["few"] != 20000 {
		t.Errorf("got %v, want 18800 to 19200 of \"most\" and the rest \"few\"", picked)
	}
}
