package e2e

import (
	"context"
	"slices"
	"testing"

	"curlewwalk/tests/fleet"
)

// TestWatchedReplicaIsolated checks that sidecars do not stay with a replica that has become outdated.
// The replica is partitioned from the other replicas, but not from the sidecars, so that it still
// answers the sidecars that watch it. They must switch to a confirmed replica and have a state in
// force that the other replicas acknowledged. (DESIGN 8.2)
func TestWatchedReplicaIsolated(t *testing.T) {
	f, ctx := newFleet(t, smallFleet())
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	type stats struct {
		Watches struct {
			Replica string `json:"core"`
		} `json:"follows"`
	}
	isolated := -1
	for _, p := range f.Sidecars {
		var s stats
		if _, err := p.Get(ctx, "/v1/stats", &s); err != nil {
			t.Fatal(err)
		}
		for i := range f.Replicas {
			if s.Watches.Replica == f.ReplicaAddress(i+1) && isolated != i {
				isolated = i
			}
		}
	}
	if isolated < 0 {
		t.Fatal("no sidecar watches a replica")
	}
	ips := f.ReplicaIPs()
	f.Network.PartitionBetween(ips[isolated:isolated+1], slices.Delete(slices.Clone(ips), isolated, isolated+1))
	other := f.Replicas[(isolated+1)%len(f.Replicas)]
	var revision uint64
	must(t, fleet.Await(ctx, "a write to be acknowledged by the majority", func(ctx context.Context) bool {
		r, err := f.Operate(ctx, other, "PUT", configurationPath, f.Configuration())
		revision = r.Revision
		return err == nil && r.Status == 200
	}))
	for _, p := range f.Sidecars {
		must(t, fleet.Await(ctx, "the sidecar to have the majority's state in force", func(ctx context.Context) bool {
			s, err := f.Revision(ctx, p)
			return err == nil && s >= revision
		}))
	}
}
