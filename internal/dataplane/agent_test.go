package dataplane

import (
	"fmt"
	"log/slog"
	"testing"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
)

// newTestAgent starts an agent at 10.0.0.1:7020 in incarnation 1.
func newTestAgent(t *testing.T) *agent {
	t.Helper()
	const addr = "10.0.0.1:7020"
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	return newAgent(agentConfig{Addr: addr, Incarnation: 1, Zone: "north"}, agentDeps{
		Actors:         actors,
		RetryBudgets:   retrybudget.NewServiceBudgets(addr, 0),
		LatencyBudgets: retrybudget.NewLatencyBudgets(),
		Suspects:       membership.NewProber(addr, membership.ProberDeps{}).Suspects,
		HeartbeatNow:   func() {},
	})
}

// waitHandled blocks until the agent has handled all messages sent before the call.
func waitHandled(t *testing.T, a *agent) {
	t.Helper()
	if _, ok := actor.Ask(t.Context(), a.mailbox, func(reply chan<- bool) any { return msgPing{reply} }); !ok {
		t.Fatal("the agent did not answer a ping")
	}
}

// TestGossipUpdateRebuildsViewOnlyOnChange checks that the agent applies the result of a
// gossip round as one message. A round that reports only known nodes must not rebuild the
// view. The reported death of one incarnation of a node must not remove another incarnation,
// which may have started since. (DESIGN 7.4)
func TestGossipUpdateRebuildsViewOnlyOnChange(t *testing.T) {
	a := newTestAgent(t)
	var update membership.GossipUpdate
	for i := range 199 {
		addr := fmt.Sprintf("10.0.1.%d:7020", i)
		update.Nodes = append(update.Nodes, membership.Node{Addr: addr, Incarnation: 1, Version: 1, Backends: []membership.Backend{{Service: "orders", Instance: addr}}})
	}
	send := func(update membership.GossipUpdate) *membership.View {
		t.Helper()
		a.mailbox.Send(t.Context(), msgGossip{update})
		waitHandled(t, a)
		return a.view.Load()
	}
	first := send(update)
	if got := len(first.Addrs()); got != 200 {
		t.Errorf("%d nodes in the view, want 200", got)
	}
	if again := send(update); again != first {
		t.Error("the view was rebuilt although all reported nodes were known")
	}
	dead := map[string]uint64{update.Nodes[0].Addr: 1, update.Nodes[1].Addr: 7}
	if got := len(send(membership.GossipUpdate{Dead: dead}).Addrs()); got != 199 {
		t.Errorf("%d nodes in the view, want 199: one node died in its current incarnation, the other in another incarnation", got)
	}
}

// TestLeavingWaitsForReplication checks that a departing backend gets its reply only once a
// control plane replica has stored the departure. Otherwise the departure would be lost if
// the sidecar stopped, and the next sidecar at this address would send requests to the
// backend. The test also checks that a departure acknowledged by an earlier process at this
// address applies to the current one. (DESIGN 9.1)
func TestLeavingWaitsForReplication(t *testing.T) {
	a := newTestAgent(t)
	answered := make(chan bool, 1)
	a.mailbox.Send(t.Context(), msgLeave{"a", answered})
	waitHandled(t, a)
	if len(answered) != 0 || !a.registry.Load().HasDeparted("a") {
		t.Errorf("%d replies before the departure was stored, want 0 and the backend marked as departed", len(answered))
	}
	node := a.node()
	if len(node.Departed) != 1 || node.Version == 0 {
		t.Errorf("the node reports %+v, want one departure and a version above 0", node)
	}
	for _, response := range []membership.Heartbeat{{RequestFull: true}, {}} {
		a.handleHeartbeatResponse(t.Context(), membership.Heartbeat{Node: &node}, response)
		waitHandled(t, a)
		if got := len(answered) == 1; got == response.RequestFull {
			t.Errorf("replied: %v, after heartbeat response %+v", got, response)
		}
	}
	a.handleHeartbeatResponse(t.Context(), membership.Heartbeat{Node: &node}, membership.Heartbeat{Departed: []string{"b"}})
	waitHandled(t, a)
	if !a.registry.Load().HasDeparted("b") {
		t.Error("a departure acknowledged by an earlier process was not applied")
	}
}

// TestSuspicionIsRefuted checks that a suspicion of this incarnation is refuted immediately,
// by a refutation number above the suspected one. An earlier suspicion, which has been
// refuted already, must not cause another refutation.
func TestSuspicionIsRefuted(t *testing.T) {
	for name, c := range map[string]struct {
		suspected  uint64
		refutation uint64 // after the response; 3 before it
		heartbeats int    // sent at once
	}{
		"suspicion of an earlier refutation":  {suspected: 2, refutation: 3},
		"suspicion of the current refutation": {suspected: 3, refutation: 4, heartbeats: 1},
		"suspicion of a later refutation":     {suspected: 7, refutation: 8, heartbeats: 1},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestAgent(t)
			heartbeats := 0
			a.HeartbeatNow = func() { heartbeats++ }
			a.refutation.Store(3)
			a.handleHeartbeatResponse(t.Context(), membership.Heartbeat{}, membership.Heartbeat{Suspected: &c.suspected})
			if got := a.refutation.Load(); got != c.refutation || heartbeats != c.heartbeats {
				t.Errorf("got refutation %d and %d heartbeats, want %d and %d", got, heartbeats, c.refutation, c.heartbeats)
			}
		})
	}
}
