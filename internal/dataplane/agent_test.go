package dataplane

import (
	"fmt"
	"log/slog"
	"testing"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/endpoints"
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

// TestLeavingWaitsForRecord guards against a departure that is acknowledged while only this process,
// or only the memory of replicas, holds it: it would be lost if they were killed at once. The reply
// must wait until a committed control state records the departure, whatever replicas respond to
// heartbeats. A departure that an earlier process at this address reported must apply to this one. So
// must one that only the control state has, even if an announcement of the backend arrived first.
// (DESIGN 9.1)
func TestLeavingWaitsForRecord(t *testing.T) {
	a := newTestAgent(t)
	answered := make(chan leaveResult, 1)
	a.mailbox.Send(t.Context(), msgLeave{"a", answered})
	waitHandled(t, a)
	node := a.node()
	if len(node.Departed) != 1 || node.Version == 0 || !a.registry.Load().HasDeparted("a") {
		t.Errorf("the node reports %+v, want one departure and a version above 0", node)
	}
	for _, response := range []membership.Heartbeat{{RequestFull: true}, {}, {Departed: []string{"b"}}} {
		a.handleHeartbeatResponse(t.Context(), response)
	}
	waitHandled(t, a)
	if len(answered) != 0 {
		t.Error("replied before the control state recorded the departure")
	}
	if !a.registry.Load().HasDeparted("b") {
		t.Error("a departure that an earlier process reported was not applied")
	}
	announced := make(chan announceResult, 1)
	a.mailbox.Send(t.Context(), msgAnnounce{endpoints.Announcement{Instance: "c", Service: "s", Address: "10.0.0.1:80", Capacity: 1}, announced})
	a.mailbox.Send(t.Context(), msgGossip{membership.GossipUpdate{State: &config.ControlState{Revision: 3, Departed: []string{"a", "c"}}}})
	waitHandled(t, a)
	if result := <-answered; !result.recorded {
		t.Errorf("got %+v after the departure was recorded, want it acknowledged", result)
	}
	if endpoint, known := a.registry.Load().Lookup("c"); !known || !endpoint.Draining {
		t.Errorf("got endpoint %+v, want it draining: the control state records its departure", endpoint)
	}
	if got := a.node().Departed; len(got) != 1 || got[0] != "b" {
		t.Errorf("the node reports the departures %v, want only b, which is not recorded", got)
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
			a.handleHeartbeatResponse(t.Context(), membership.Heartbeat{Suspected: &c.suspected})
			if got := a.refutation.Load(); got != c.refutation || heartbeats != c.heartbeats {
				t.Errorf("got refutation %d and %d heartbeats, want %d and %d", got, heartbeats, c.refutation, c.heartbeats)
			}
		})
	}
}
