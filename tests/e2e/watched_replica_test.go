package e2e

import (
	"context"
	"slices"
	"testing"

	"curlewwalk/tests/fleet"
)

// A replica that is partitioned from the other replicas, but from no sidecar, goes on answering those that
// watch it without learning anything new: they turn to a replica that is confirmed, and have a state that
// the others acknowledged in force. (DESIGN 8.2)
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
		t.Fatal("nobody watches a replica")
	}
	ips := f.ReplicaIPs()
	f.Network.PartitionBetween(ips[isolated:isolated+1], slices.Delete(slices.Clone(ips), isolated, isolated+1))
	other := f.Replicas[(isolated+1)%len(f.Replicas)]
	var revision uint64
	must(t, fleet.Await(ctx, "a write at the majority", func(ctx context.Context) bool {
		r, err := f.Operate(ctx, other, "PUT", configurationPath, f.Configuration())
		revision = r.Revision
		return err == nil && r.Status == 200
	}))
	for _, p := range f.Sidecars {
		must(t, fleet.Await(ctx, "the state in force past the isolated replica", func(ctx context.Context) bool {
			s, err := f.Revision(ctx, p)
			return err == nil && s >= revision
		}))
	}
}
