package e2e

import (
	"context"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
)

// knowsNode reports whether a sidecar has a node in its view; ok is false if it does not answer.
func knowsNode(ctx context.Context, p *fleet.Program, addr string) (known, ok bool) {
	var nodes []struct {
		Address string `json:"address"`
	}
	_, err := p.Get(ctx, "/v1/nodes", &nodes)
	for _, n := range nodes {
		known = known || n.Address == addr
	}
	return known, err == nil
}

// A dead sidecar is removed from all views once the nodes that monitor it agree, before its heartbeats
// are overdue.
func TestDeadNodeIsRemoved(t *testing.T) {
	f, ctx := startFleet(t, smallFleet())
	addr := f.Sidecars[3].IP + ":7400"
	f.Sidecars[3].Kill()
	dead := time.Now()
	for _, p := range f.Sidecars[:3] {
		must(t, fleet.Await(ctx, "the dead node to be gone", func(ctx context.Context) bool {
			known, ok := knowsNode(ctx, p, addr)
			return ok && !known
		}))
	}
	t.Logf("removed everywhere after %v", time.Since(dead).Round(time.Millisecond))
}

// A node that its monitors can't reach, but the replicas can, refutes the suspicion: it stays in every
// view, and the next suspicion is of a later incarnation.
func TestSuspectedNodeRefutes(t *testing.T) {
	f, ctx := newFleet(t, smallFleet())
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	addr := f.Sidecars[3].IP + ":7400"
	var others []string
	for _, p := range f.Sidecars[:3] {
		others = append(others, p.IP)
	}
	f.Network.PartitionBetween([]string{f.Sidecars[3].IP}, others)
	refuted := func(ctx context.Context) bool {
		if known, ok := knowsNode(ctx, f.Sidecars[0], addr); ok && !known {
			t.Error("it was removed")
			return true
		}
		var st struct {
			Directory struct {
				Nodes []struct {
					Address     string `json:"address"`
					Incarnation uint64 `json:"incarnation"`
				} `json:"nodes"`
			} `json:"directory"`
		}
		_, err := f.Replicas[0].Get(ctx, "/v1/state", &st)
		for _, n := range st.Directory.Nodes {
			if err == nil && n.Address == addr && n.Incarnation >= 1 {
				return true
			}
		}
		return false
	}
	must(t, fleet.Await(ctx, "the node to refute", refuted))
	partitionedAt := time.Now()
	must(t, fleet.Await(ctx, "3 s to pass", func(ctx context.Context) bool {
		if known, ok := knowsNode(ctx, f.Sidecars[0], addr); ok && !known {
			t.Error("it was removed later")
			return true
		}
		return time.Since(partitionedAt) > 3*time.Second
	}))
}
