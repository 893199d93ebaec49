package config

import (
	"strings"
	"testing"
)

// Names have lower-case letters, digits, dots, underscores and hyphens, and begin with a letter or
// a digit.
func TestIsValidName(t *testing.T) {
	for name, want := range map[string]bool{
		"a": true, "7": true, "order-read": true, "v1.2_x": true, strings.Repeat("n", maxNameLength): true,
		"": false, "-a": false, ".a": false, "_a": false, "A": false, "a b": false, "ä": false, "a/b": false,
		strings.Repeat("n", maxNameLength+1): false,
	} {
		if got := IsValidName(name); got != want {
			t.Errorf("%q: %v", name, got)
		}
	}
}
