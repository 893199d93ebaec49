package config

import (
	"strings"
	"testing"
)

// A valid name consists of lower-case letters, digits, dots, underscores and hyphens, begins with a
// letter or a digit, and has at most maxNameLength characters.
func TestIsValidName(t *testing.T) {
	for name, want := range map[string]bool{
		"a": true, "7": true, "order-read": true, "v1.2_x": true, strings.Repeat("n", maxNameLength): true,
		"": false, "-a": false, ".a": false, "_a": false, "A": false, "a b": false, "ä": false, "a/b": false,
		strings.Repeat("n", maxNameLength+1): false,
	} {
		if got := IsValidName(name); got != want {
			t.Errorf("name %q: got valid %v, want the opposite", name, got)
		}
	}
}
