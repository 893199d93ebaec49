package mutation

import "testing"

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
