package e2e

import (
	"context"
	"slices"
	"testing"

	"curlewwalk/tests/fleet"
)

// A core that is cut off from the other cores, but from no sidecar, answers those that
// follow it as ever and hears of nothing new: they leave it for one that is sure, and
// have a word that the others acknowledged in force. (DESIGN 8.2)
func TestWatchedReplicaIsolated(t *testing.T) {
	f, ctx := newFleet(t, smallFleet())
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	type stats struct {
		Follows struct{ Core string }
	}
	isolated := -1
	for _, p := range f.Sidecars {
		var s stats
		if _, err := p.Get(ctx, "/v1/stats", &s); err != nil {
			t.Fatal(err)
		}
		for i := range f.Replicas {
			if s.Follows.Core == f.ReplicaAddress(i+1) && isolated != i {
				isolated = i
			}
		}
	}
	if isolated < 0 {
		t.Fatal("nobody follows a core")
	}
	ips := f.ReplicaIPs()
	f.Network.PartitionBetween(ips[isolated:isolated+1], slices.Delete(slices.Clone(ips), isolated, isolated+1))
	other := f.Replicas[(isolated+1)%len(f.Replicas)]
	var revision uint64
	must(t, fleet.Await(ctx, "a write beside the cut", func(ctx context.Context) bool {
		r, err := f.Operate(ctx, other, "PUT", "/v1/desired", f.Configuration())
		revision = r.Revision
		return err == nil && r.Status == 200
	}))
	for _, p := range f.Sidecars {
		must(t, fleet.Await(ctx, "the word past the core that is cut off", func(ctx context.Context) bool {
			s, err := f.Revision(ctx, p)
			return err == nil && s >= revision
		}))
	}
}
