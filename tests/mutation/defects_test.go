package mutation

import "testing"

// Each defect can still be put where it belongs, so that none is forgotten as the
// code moves on. That each is caught is shown by tests/cmd/mutation.
func TestDefectsFit(t *testing.T) {
	for _, d := range All {
		if err := d.Check("../.."); err != nil {
			t.Errorf("%s: %v", d.Line, err)
		}
	}
}

// Each defect builds: one that doesn't would seem to be caught, and proves nothing.
func TestDefectsBuild(t *testing.T) {
	for _, d := range All {
		t.Run(d.File+"/"+d.Test, func(t *testing.T) {
			t.Parallel()
			if said, err := d.Builds("../..", t.TempDir()); err != nil {
				t.Errorf("%q for %q: %v\n%s", d.New, d.Old, err, said)
			}
		})
	}
}
