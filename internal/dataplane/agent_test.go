package dataplane

import (
	"fmt"
	"log/slog"
	"testing"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/membership"
)

// What a round of the roll call found is taken as one message; the view isn't made anew
// for what is known already, and no earlier process's death takes a later one out.
// (DESIGN 7.4)
func TestMembershipQueryResult(t *testing.T) {
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	a := newAgent(actors, "10.0.0.1:7020", 1, "north", 0, func() {})
	var found membership.GossipUpdate
	for i := range 199 {
		addr := fmt.Sprintf("10.0.1.%d:7020", i)
		found.Nodes = append(found.Nodes, membership.Node{Addr: addr, Incarnation: 1, Version: 1, Backends: []membership.Backend{{Service: "orders", Instance: addr}}})
	}
	send := func(f membership.GossipUpdate) *membership.View {
		a.mailbox.Send(t.Context(), msgQueryResult{f})
		if _, ok := actor.Ask(t.Context(), a.mailbox, func(r chan<- bool) any { return msgPing{r} }); !ok {
			t.Fatal("no answer")
		}
		return a.view.Load()
	}
	first := send(found)
	if got := len(first.Addrs()); got != 200 {
		t.Errorf("%d known", got)
	}
	if again := send(found); again != first {
		t.Error("the view was made again for what was known")
	}
	dead := map[string]uint64{found.Nodes[0].Addr: 1, found.Nodes[1].Addr: 7}
	if got := len(send(membership.GossipUpdate{Dead: dead}).Addrs()); got != 199 {
		t.Errorf("%d known; one died in its boot, of another an earlier process did", got)
	}
}

// A backend's word of leaving is answered once a core holds it; what an earlier process at
// this address had acknowledged binds this one. (DESIGN 9.1)
func TestLeavingWaitsForReplication(t *testing.T) {
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	a := newAgent(actors, "10.0.0.1:7020", 1, "north", 0, func() {})
	settle := func() {
		if _, ok := actor.Ask(t.Context(), a.mailbox, func(r chan<- bool) any { return msgPing{r} }); !ok {
			t.Fatal("no answer")
		}
	}
	answered := make(chan bool, 1)
	a.mailbox.Send(t.Context(), msgLeave{"a", answered})
	settle()
	if len(answered) != 0 || !a.registry.Load().HasDeparted("a") {
		t.Errorf("%d answers before a core holds it", len(answered))
	}
	node := a.node()
	if len(node.Departed) != 1 || node.Version == 0 {
		t.Errorf("it tells %+v", node)
	}
	for _, response := range []membership.Heartbeat{{RequestFull: true}, {}} {
		a.handleHeartbeatResponse(t.Context(), membership.Heartbeat{Node: &node}, response)
		settle()
		if held := len(answered) == 1; held == response.RequestFull {
			t.Errorf("answered: %v, after %+v", held, response)
		}
	}
	a.handleHeartbeatResponse(t.Context(), membership.Heartbeat{Node: &node}, membership.Heartbeat{Departed: []string{"b"}})
	settle()
	if !a.registry.Load().HasDeparted("b") {
		t.Error("what an earlier process had acknowledged is not known")
	}
}
