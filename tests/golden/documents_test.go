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

// TestDocuments checks that the keys of the JSON documents for operators, backends and the planner
// have not changed. Documents of unexported types are checked by the tests of their packages.
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

// TestConfiguration checks that the encoding of the operator's configuration has not changed, and that
// the golden file is re-encoded as the same bytes after it was read.
func TestConfiguration(t *testing.T) {
	const name = "documents/configuration.json"
	var complete config.Configuration
	golden.Fill(&complete, golden.JSON.Tag)
	golden.Check(t, name, complete.Bytes())
	stored, err := os.ReadFile(golden.Path(name))
	if err != nil {
		t.Fatal(err)
	}
	read, _, ok := config.Parse(stored)
	if !ok {
		t.Fatal("config.Parse rejects the golden file")
	}
	if string(read.Bytes()) != string(stored) {
		t.Errorf("configuration re-encoded as %s, want the bytes of the golden file", read.Bytes())
	}
}
