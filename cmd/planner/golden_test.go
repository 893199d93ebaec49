package main

import (
	"testing"

	"curlewwalk/tests/golden"
)

// The names and defaults of the planner's flags do not change.
func TestGoldenFlags(t *testing.T) { golden.Settings(t, "flags.txt", &options{}) }
