package main

import (
	"testing"

	"curlewwalk/tests/golden"
)

// The planner's flags have the names and defaults that they have always had.
func TestGoldenFlags(t *testing.T) { golden.Settings(t, "flags.txt", &options{}) }
