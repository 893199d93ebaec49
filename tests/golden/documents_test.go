package golden_test

import (
	"os"
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/plan"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/settings"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/watch"
	"curlewwalk/tests/golden"
)

// The documents for operators and backends, and the planner's, have the keys that they have
// always had. Those of types that are not exported are in their packages' own tests.
func TestDocuments(t *testing.T) {
	for name, sample := range map[string]any{
		"announcement":   &endpoints.Announcement{},
		"node":           &membership.Node{},
		"budgets":        &retrybudget.BudgetList{},
		"cost":           &routing.LatencyReport{},
		"evacuation":     &watch.DrainStatus{},
		"directory":      &watch.Status{},
		"trace":          &tracestore.Tree{},
		"reload":         &settings.ReloadResult{},
		"fault":          &config.FieldViolation{},
		"planner-state":  &plan.Snapshot{},
		"planner-result": &plan.Impact{},
	} {
		t.Run(name, func(t *testing.T) { golden.Value(t, golden.JSON, "documents/"+name+".json", sample) })
	}
}

// The operator's configuration is written, and what was written is read and written again, as
// it always has been.
func TestConfiguration(t *testing.T) {
	const name = "documents/configuration.json"
	var whole config.Configuration
	golden.Fill(&whole, golden.JSON.Tag)
	golden.Check(t, name, whole.Bytes())
	stored, err := os.ReadFile(golden.Path(name))
	if err != nil {
		t.Fatal(err)
	}
	read, _, ok := config.Parse(stored)
	if !ok {
		t.Fatal("the golden file is not read")
	}
	if string(read.Bytes()) != string(stored) {
		t.Errorf("read and written again: %s", read.Bytes())
	}
}
