package e2e

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/tests/fleet"
)

// The whole path at the size of either deployment: each kind of request goes
// from every machine to a right backend and its answer comes back untouched.
func TestPath(t *testing.T) {
	for _, size := range []fleet.Size{fleet.Association(), fleet.Heating()} {
		t.Run(size.Name, func(t *testing.T) {
			f, ctx := start(t, size)
			for _, c := range f.Callers() {
				for _, p := range size.Plans {
					if a := c.Once(ctx, p); a.Status != 200 || a.Outcome != "" || a.Wrong != "" {
						t.Errorf("%s from %s: %+v", p.Name, c.Name, a)
					}
				}
			}
			judge(t, f)
			want := f.Configuration()
			for _, core := range f.Cores {
				r, err := f.Operate(ctx, core, "GET", "/v1/desired", nil)
				must(t, err)
				if r.Stamp != 1 || !cmp.Equal(r.Body, want) {
					t.Errorf("%s reads back stamp %d: %s", core.Name, r.Stamp, cmp.Diff(string(want), string(r.Body)))
				}
			}
		})
	}
}

// Any one live seed is enough, in any order of starting, with a dead first
// seed.
func TestSeedsAndOrder(t *testing.T) {
	f, ctx := begin(t, small())
	// Everyone has three seeds: two cores and sidecar-0.
	for _, p := range []*fleet.Program{f.Sidecars[2], f.Sidecars[0], f.Cores[2], f.Sidecars[1], f.Cores[0], f.Cores[1], f.Sidecars[3]} {
		must(t, p.Start())
	}
	for _, p := range append(f.Cores, f.Sidecars...) {
		must(t, p.Ready(ctx))
	}
	// With two of its three seeds dead, a process still finds all others.
	f.Cores[0].Kill()
	f.Cores[1].Kill()
	f.Sidecars[3].Kill()
	must(t, f.Sidecars[3].Start())
	must(t, f.Sidecars[3].Ready(ctx))
	must(t, f.Cores[0].Start())
	must(t, f.Cores[0].Ready(ctx))
}
