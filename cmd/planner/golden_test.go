package main

import (
	"testing"

	"curlewwalk/tests/golden"
)

// The planner's flags keep their names and defaults.
func TestGoldenFlags(t *testing.T) { golden.Settings(t, "flags.txt", &options{}) }
