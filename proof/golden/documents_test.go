package golden_test

import (
	"os"
	"testing"

	"curlewwalk/collect"
	"curlewwalk/contract"
	"curlewwalk/desired"
	"curlewwalk/feed"
	"curlewwalk/membership"
	"curlewwalk/plan"
	"curlewwalk/proof/golden"
	"curlewwalk/roster"
	"curlewwalk/routing"
	"curlewwalk/settings"
)

// The documents for operators and backends, and the planner's, have the keys that they have
// always had. Those of types that are not exported are in their packages' own tests.
func TestDocuments(t *testing.T) {
	for name, sample := range map[string]any{
		"announcement":   &roster.Announcement{},
		"node":           &membership.Node{},
		"budgets":        &contract.Answer{},
		"cost":           &routing.CostPage{},
		"evacuation":     &feed.Drain{},
		"directory":      &feed.State{},
		"trace":          &collect.Tree{},
		"reload":         &settings.Reloaded{},
		"fault":          &desired.Fault{},
		"planner-state":  &plan.Snapshot{},
		"planner-result": &plan.Moves{},
	} {
		t.Run(name, func(t *testing.T) { golden.Value(t, golden.JSON, "documents/"+name+".json", sample) })
	}
}

// The operator's configuration is written, and what was written is read and written again, as
// it always has been.
func TestConfiguration(t *testing.T) {
	const name = "documents/configuration.json"
	var whole desired.State
	golden.Fill(&whole, golden.JSON.Tag)
	golden.Check(t, name, whole.Bytes())
	stored, err := os.ReadFile(golden.Path(name))
	if err != nil {
		t.Fatal(err)
	}
	read, _, ok := desired.Parse(stored)
	if !ok {
		t.Fatal("the golden file is not read")
	}
	if string(read.Bytes()) != string(stored) {
		t.Errorf("read and written again: %s", read.Bytes())
	}
}
