package config

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A zone is evacuated by order of the operator or by a maintenance window that was not waived. Each
// zone is listed once.
func TestEvacuatedZones(t *testing.T) {
	state := ControlState{
		EvacuatedByOperator: []string{"west", "east"},
		Closures:            []ZoneClosure{{Zone: "north", Window: "a"}, {Zone: "south", Window: "b", Waived: true}, {Zone: "east", Window: "c"}},
	}
	if d := cmp.Diff([]string{"east", "north", "west"}, state.EvacuatedZones()); d != "" {
		t.Error(d)
	}
	if !state.HasClosure("a") || !state.HasClosure("b") || state.HasClosure("d") {
		t.Error("HasClosure must find the windows a and b, and not d")
	}
	if got := (ControlState{}).EvacuatedZones(); len(got) != 0 {
		t.Errorf("got evacuated zones %v of an empty state, want none", got)
	}
}

// The state stores the newest order on a zone for at most MaxEvacuations zones. For other zones,
// EvacuationRevision returns the revision of the newest dropped order as an upper bound.
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
			t.Errorf("zone %s: got revision %d, known %v", zone, revision, known)
		}
	}
	if len(state.Evacuations) != MaxEvacuations {
		t.Errorf("got %d stored orders, want MaxEvacuations", len(state.Evacuations))
	}
}

// ForSidecars removes the fields that stay on the replicas and does not modify the original state.
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
