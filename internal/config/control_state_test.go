package config

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A zone is evacuated by the operator's order or for a maintenance window that was not waived, and
// listed once.
func TestEvacuatedZones(t *testing.T) {
	state := ControlState{
		EvacuatedByOperator: []string{"west", "east"},
		Closures:            []ZoneClosure{{Zone: "north", Window: "a"}, {Zone: "south", Window: "b", Waived: true}, {Zone: "east", Window: "c"}},
	}
	if d := cmp.Diff([]string{"east", "north", "west"}, state.EvacuatedZones()); d != "" {
		t.Error(d)
	}
	if !state.HasClosure("a") || !state.HasClosure("b") || state.HasClosure("d") {
		t.Error("closures are not found by their windows")
	}
	if got := (ControlState{}).EvacuatedZones(); len(got) != 0 {
		t.Errorf("evacuated without an order: %v", got)
	}
}

// The newest order on a zone is remembered for a bounded number of zones; for others its revision is
// bounded by that of the newest order that was dropped.
func TestEvacuationRevision(t *testing.T) {
	var state ControlState
	for i := range uint64(MaxEvacuations + 2) {
		state.Revision = i + 1
		state = state.WithEvacuation(fmt.Sprint("zone-", i))
	}
	state.Revision++
	state = state.WithEvacuation("zone-5")
	for zone, want := range map[string]struct {
		revision uint64
		known    bool
	}{
		"zone-0":    {2, false}, // dropped
		"zone-1":    {2, false}, // dropped last
		"zone-2":    {3, true},
		"zone-5":    {MaxEvacuations + 3, true}, // ordered again
		"elsewhere": {2, false},
	} {
		if revision, known := state.EvacuationRevision(zone); revision != want.revision || known != want.known {
			t.Errorf("%s: %d, known %v", zone, revision, known)
		}
	}
	if len(state.Evacuations) != MaxEvacuations {
		t.Errorf("%d orders are remembered", len(state.Evacuations))
	}
}

// Sidecars do not get what only the replicas keep; the replicas' own state does not change.
func TestForSidecars(t *testing.T) {
	state := ControlState{
		Revision: 7, ConfigurationRevision: 6, Configuration: []byte("{}"), Submitted: []byte("sent"), Generation: 3,
		AcceptedGenerations: []AcceptedGeneration{{Generation: 3}}, Evacuations: []Evacuation{{Zone: "west"}}, CompactedRevision: 2,
	}
	want := ControlState{Revision: 7, ConfigurationRevision: 6, Configuration: []byte("{}"), Generation: 3}
	if d := cmp.Diff(want, state.ForSidecars()); d != "" {
		t.Error(d)
	}
	if state.Submitted == nil || state.CompactedRevision != 2 {
		t.Error("the replicas' state was changed")
	}
}
