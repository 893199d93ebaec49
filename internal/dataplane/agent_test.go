package dataplane

import (
	"fmt"
	"log/slog"
	"testing"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
)

// newTestAgent starts an agent at 10.0.0.1:7020, in its incarnation 1.
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

// waitHandled returns when the agent has handled all messages sent before.
func waitHandled(t *testing.T, a *agent) {
	t.Helper()
	if _, ok := actor.Ask(t.Context(), a.mailbox, func(reply chan<- bool) any { return msgPing{reply} }); !ok {
		t.Fatal("no answer")
	}
}

// What a round of gossip brought is taken as one message; the view isn't rebuilt for what is
// known already, and the death of an earlier incarnation doesn't remove a later one.
// (DESIGN 7.4)
func TestMembershipQueryResult(t *testing.T) {
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
		t.Errorf("%d known", got)
	}
	if again := send(update); again != first {
		t.Error("the view was rebuilt for what was known")
	}
	dead := map[string]uint64{update.Nodes[0].Addr: 1, update.Nodes[1].Addr: 7}
	if got := len(send(membership.GossipUpdate{Dead: dead}).Addrs()); got != 199 {
		t.Errorf("%d known; one died in its incarnation, of another an earlier one did", got)
	}
}

// A backend that leaves is answered once a control plane replica has stored that; what an
// earlier process at this address had acknowledged binds this one. (DESIGN 9.1)
func TestLeavingWaitsForReplication(t *testing.T) {
	a := newTestAgent(t)
	answered := make(chan bool, 1)
	a.mailbox.Send(t.Context(), msgLeave{"a", answered})
	waitHandled(t, a)
	if len(answered) != 0 || !a.registry.Load().HasDeparted("a") {
		t.Errorf("%d answers before it is stored", len(answered))
	}
	node := a.node()
	if len(node.Departed) != 1 || node.Version == 0 {
		t.Errorf("it reports %+v", node)
	}
	for _, response := range []membership.Heartbeat{{RequestFull: true}, {}} {
		a.handleHeartbeatResponse(t.Context(), membership.Heartbeat{Node: &node}, response)
		waitHandled(t, a)
		if got := len(answered) == 1; got == response.RequestFull {
			t.Errorf("answered: %v, after %+v", got, response)
		}
	}
	a.handleHeartbeatResponse(t.Context(), membership.Heartbeat{Node: &node}, membership.Heartbeat{Departed: []string{"b"}})
	waitHandled(t, a)
	if !a.registry.Load().HasDeparted("b") {
		t.Error("what an earlier process had acknowledged is not known")
	}
}

// A suspicion of this incarnation is refuted at once, by a number above the suspected one; an
// earlier one, which has been refuted, is not refuted again.
func TestSuspicionIsRefuted(t *testing.T) {
	for name, c := range map[string]struct {
		suspected  uint64
		refutation uint64 // after the response, from 3 before
		heartbeats int    // sent at once
	}{
		"an earlier suspicion":          {suspected: 2, refutation: 3},
		"one of the present refutation": {suspected: 3, refutation: 4, heartbeats: 1},
		"one of a later refutation":     {suspected: 7, refutation: 8, heartbeats: 1},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestAgent(t)
			heartbeats := 0
			a.HeartbeatNow = func() { heartbeats++ }
			a.refutation.Store(3)
			a.handleHeartbeatResponse(t.Context(), membership.Heartbeat{}, membership.Heartbeat{Suspected: &c.suspected})
			if got := a.refutation.Load(); got != c.refutation || heartbeats != c.heartbeats {
				t.Errorf("refutation %d and %d heartbeats, not %d and %d", got, heartbeats, c.refutation, c.heartbeats)
			}
		})
	}
}
