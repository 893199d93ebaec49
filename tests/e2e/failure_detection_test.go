package e2e

import (
	"context"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
)

// knowsNode reports whether a sidecar's membership view contains a node. ok is false if the sidecar
// does not answer.
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

// TestDeadNodeIsRemoved checks that all sidecars remove a dead node from their views. They do so once
// the nodes that monitor it agree, before its heartbeats are overdue.
func TestDeadNodeIsRemoved(t *testing.T) {
	f, ctx := startFleet(t, smallFleet())
	addr := f.Sidecars[3].IP + ":7400"
	f.Sidecars[3].Kill()
	killedAt := time.Now()
	for _, p := range f.Sidecars[:3] {
		must(t, fleet.Await(ctx, "the dead node to be removed from the view", func(ctx context.Context) bool {
			known, ok := knowsNode(ctx, p, addr)
			return ok && !known
		}))
	}
	t.Logf("removed from all views after %v", time.Since(killedAt).Round(time.Millisecond))
}

// TestSuspectedNodeRefutes checks that a live node refutes a suspicion. Its monitors cannot reach it,
// but the replicas can. The node must stay in every view and raise its incarnation, so that an older
// suspicion no longer applies.
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
			t.Error("the node was removed from the view while it refuted the suspicion")
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
	must(t, fleet.Await(ctx, "the node to refute the suspicion", refuted))
	refutedAt := time.Now()
	must(t, fleet.Await(ctx, "3 s to pass", func(ctx context.Context) bool {
		if known, ok := knowsNode(ctx, f.Sidecars[0], addr); ok && !known {
			t.Error("the node was removed from the view within 3 s after it refuted the suspicion")
			return true
		}
		return time.Since(refutedAt) > 3*time.Second
	}))
}
