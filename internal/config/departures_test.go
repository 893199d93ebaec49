package config

import (
	"fmt"
	"testing"
)

// TestWithDepartures checks that a state keeps the newest MaxDepartures departures, each once, and
// that the state to which departures are added is not modified.
func TestWithDepartures(t *testing.T) {
	var state ControlState
	var instances []string
	for i := range MaxDepartures {
		instances = append(instances, fmt.Sprint("i-", i))
	}
	full := state.WithDepartures(instances)
	if len(state.Departed) != 0 || len(full.Departed) != MaxDepartures || !full.HaveDeparted(instances) {
		t.Fatalf("got %d departures, and %d in the old state; want MaxDepartures and none", len(full.Departed), len(state.Departed))
	}
	repeated := full.WithDepartures(instances[:2])
	if !repeated.HaveDeparted(instances) {
		t.Error("a repeated departure dropped another one")
	}
	next := full.WithDepartures([]string{"newest", "i-1"})
	if next.HasDeparted("i-0") || !next.HasDeparted("i-1") || !next.HasDeparted("newest") || len(next.Departed) != MaxDepartures {
		t.Error("want the oldest departure dropped for the newest, and no other")
	}
	if !full.HasDeparted("i-0") {
		t.Error("the old state was modified")
	}
}
