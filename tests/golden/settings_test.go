package golden_test

import (
	"testing"

	"curlewwalk/internal/settings"
	"curlewwalk/tests/golden"
)

// TestSettings checks that the names, kinds and defaults of the settings have not changed.
func TestSettings(t *testing.T) {
	for name, set := range map[string]any{"core": &settings.ControlPlane{}, "sidecar": &settings.Sidecar{}} {
		golden.Settings(t, "settings/"+name+".txt", set)
	}
}
