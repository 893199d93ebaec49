package mutation

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Each mutation still applies, so that none is forgotten as the code changes. That each is killed
// is shown by tests/cmd/mutation.
func TestMutationsApply(t *testing.T) {
	for _, m := range All {
		if err := m.Check("../.."); err != nil {
			t.Errorf("%s: %v", m.Invariant, err)
		}
	}
}

// Each mutation builds: one that does not would seem to be killed, and shows nothing.
func TestMutationsBuild(t *testing.T) {
	for _, m := range All {
		t.Run(m.File+"/"+m.Test, func(t *testing.T) {
			t.Parallel()
			if output, err := m.Builds("../..", t.TempDir()); err != nil {
				t.Errorf("%q for %q: %v\n%s", m.New, m.Old, err, output)
			}
		})
	}
}

// The test of each mutation exists in its package. go test passes if -run matches no test, and
// the mutation would survive unnoticed until somebody runs the whole catalogue.
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
			t.Errorf("%s: %s has no %s", m.File, m.Package, m.Test)
		}
	}
}
