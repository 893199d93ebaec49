package golden_test

import (
	"testing"

	"curlewwalk/internal/settings"
	"curlewwalk/tests/golden"
)

// Every setting has the names and the default that it has always had.
func TestSettings(t *testing.T) {
	for name, set := range map[string]any{"core": &settings.ControlPlane{}, "sidecar": &settings.Sidecar{}} {
		golden.Settings(t, "settings/"+name+".txt", set)
	}
}
