package routing

import (
	"math/rand/v2"
	"testing"

	"curlewwalk/internal/config"
)

// A split's services get their shares; one without weight gets nothing.
func TestPickService(t *testing.T) {
	if got := PickService(config.Route{Service: "one"}, nil); got != "one" {
		t.Errorf("without a split: %q", got)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	route := config.Route{Split: []config.WeightedService{{Service: "none"}, {Service: "most", Weight: 95}, {Service: "few", Weight: 5}, {Service: "never"}}}
	picked := map[string]int{}
	for range 20000 {
		picked[PickService(route, rng.IntN)]++
	}
	if picked["most"] < 18800 || picked["most"] > 19200 || picked["most"]+picked["few"] != 20000 {
		t.Errorf("%v", picked)
	}
}
