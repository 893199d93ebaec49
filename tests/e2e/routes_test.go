package e2e

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/tests/fleet"
)

// TestEveryRoute checks, at the size of each deployment, that a request of each plan reaches a
// suitable backend from every machine, and that its answer comes back unaltered.
func TestEveryRoute(t *testing.T) {
	for _, size := range []fleet.Size{fleet.Association(), fleet.Heating()} {
		t.Run(size.Name, func(t *testing.T) {
			f, ctx := startFleet(t, size)
			for _, c := range f.Clients() {
				for _, p := range size.Plans {
					if a := c.SendOne(ctx, p); a.Status != 200 || a.Outcome != "" || a.Mismatch != "" {
						t.Errorf("%s from %s: got %+v, want an unaltered answer with status 200", p.Name, c.Name, a)
					}
				}
			}
			checkLedger(t, f)
			want := f.Configuration()
			for _, replica := range f.Replicas {
				r, err := f.Operate(ctx, replica, "GET", configurationPath, nil)
				must(t, err)
				if r.Revision != 1 || !cmp.Equal(r.Body, want) {
					t.Errorf("%s returned revision %d, want 1 with the initial configuration: %s", replica.Name, r.Revision, cmp.Diff(string(want), string(r.Body)))
				}
			}
		})
	}
}

// TestSeedsAndOrder checks that one live seed is enough for a process to find all others, in any order
// of starts, also when the first seed is dead.
func TestSeedsAndOrder(t *testing.T) {
	f, ctx := newFleet(t, smallFleet())
	// All processes have the same three seeds: two replicas and sidecar-0.
	for _, p := range []*fleet.Program{f.Sidecars[2], f.Sidecars[0], f.Replicas[2], f.Sidecars[1], f.Replicas[0], f.Replicas[1], f.Sidecars[3]} {
		must(t, p.Start())
	}
	for _, p := range append(f.Replicas, f.Sidecars...) {
		must(t, p.AwaitReady(ctx))
	}
	// With two of its three seeds dead, a process still finds all other processes.
	f.Replicas[0].Kill()
	f.Replicas[1].Kill()
	f.Sidecars[3].Kill()
	must(t, f.Sidecars[3].Start())
	must(t, f.Sidecars[3].AwaitReady(ctx))
	must(t, f.Replicas[0].Start())
	must(t, f.Replicas[0].AwaitReady(ctx))
}
