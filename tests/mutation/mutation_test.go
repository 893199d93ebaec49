package mutation

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestMutationsApply checks that each mutation still applies: a change of the code could otherwise
// disable one unnoticed. tests/cmd/mutation checks that each mutation is killed.
func TestMutationsApply(t *testing.T) {
	for _, m := range All {
		if err := m.Check("../.."); err != nil {
			t.Errorf("%s: %v", m.Invariant, err)
		}
	}
}

// TestMutationsBuild checks that each mutated package builds. A mutation that does not build would
// appear to be killed, but would say nothing about its test.
func TestMutationsBuild(t *testing.T) {
	for _, m := range All {
		t.Run(m.File+"/"+m.Test, func(t *testing.T) {
			t.Parallel()
			if output, err := m.Builds("../..", t.TempDir()); err != nil {
				t.Errorf("new text %q for old text %q does not build: %v\n%s", m.New, m.Old, err, output)
			}
		})
	}
}

// TestMutationsNameTests checks that the test of each mutation exists in its package. go test passes
// if -run matches no test, so a missing test would be noticed only when the whole catalogue runs.
func TestMutationsNameTests(t *testing.T) {
	for _, m := range All {
		files, err := filepath.Glob(filepath.Join("../..", m.Package, "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		found := slices.ContainsFunc(files, func(file string) bool {
			text, err := os.ReadFile(file)
			return err == nil && strings.Contains(string(text), "\nfunc "+m.Test+"(t *testing.T)")
		})
		if !found {
			t.Errorf("mutation of %s: package %s has no test %s", m.File, m.Package, m.Test)
		}
	}
}
