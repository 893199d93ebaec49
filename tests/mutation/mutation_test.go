package mutation

import "testing"

// Each defect can still be put where it belongs, so that none is forgotten as the
// code moves on. That each is caught is shown by tests/cmd/mutation.
func TestMutationsApply(t *testing.T) {
	for _, m := range All {
		if err := m.Check("../.."); err != nil {
			t.Errorf("%s: %v", m.Invariant, err)
		}
	}
}

// Each defect builds: one that doesn't would seem to be caught, and proves nothing.
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
