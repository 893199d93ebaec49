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
	want := ControlState{Revision: 7, ConfigurationRevision: 6, Configuration: []byte("{}"), Generation: 3, RestoredZones: []Evacuation{{Zone: "west"}}}
	if d := cmp.Diff(want, state.ForSidecars()); d != "" {
		t.Error(d)
	}
	state.EvacuatedByOperator = []string{"west"}
	if got := state.ForSidecars().RestoredZones; len(got) != 0 {
		t.Errorf("got restored zones %v, want none: the zone is evacuated", got)
	}
	if state.Submitted == nil || state.CompactedRevision != 2 {
		t.Error("the replicas' state was changed")
	}
}

// Two states route alike if only departures were recorded between them. An evacuation that was ordered
// and revoked between them is a difference.
func TestRoutesAlike(t *testing.T) {
	base := ControlState{Revision: 3, ConfigurationRevision: 2, Configuration: []byte("{}"), EvacuatedByOperator: []string{"west"}}
	departed := base.WithDepartures([]string{"a"})
	departed.Revision++
	if !base.RoutesAlike(departed) {
		t.Error("a recorded departure changes the routing")
	}
	for name, change := range map[string]func(s *ControlState){
		"configuration":           func(s *ControlState) { s.ConfigurationRevision, s.Configuration = 4, []byte("{ }") },
		"evacuation":              func(s *ControlState) { s.EvacuatedByOperator = []string{"east", "west"} },
		"restore":                 func(s *ControlState) { s.EvacuatedByOperator = nil },
		"window":                  func(s *ControlState) { s.Closures = []ZoneClosure{{Zone: "east", Window: "w"}} },
		"evacuation and restore":  func(s *ControlState) { s.RestoredZones = []Evacuation{{Zone: "east", Revision: 5}} },
		"configuration by number": func(s *ControlState) { s.ConfigurationRevision = 4 },
	} {
		changed := base
		change(&changed)
		if base.RoutesAlike(changed) {
			t.Errorf("%s: the states route alike, want a difference", name)
		}
	}
}
