// Package messages fuzzes what the processes read from one another: each kind of message is
// parsed as its receiver does, and handed to the production code that acts on it.
package messages

import (
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/transport"
	"curlewwalk/internal/watch"
)

// kind is one kind of message, with a sample and what handles it.
type kind struct {
	name   string
	sample any
	// handle parses a message and acts on it; false if it can't be parsed.
	handle func(b []byte) bool
}

// newKind makes a kind from a sample and the code that acts on such messages.
func newKind[M any](name string, sample M, act func(m M)) kind {
	return kind{name, sample, func(b []byte) bool {
		var m M
		if transport.Unmarshal(b, &m) != nil {
			return false
		}
		act(m)
		return true
	}}
}

var (
	backend = membership.Backend{Instance: "i", Service: "s", Address: "127.0.0.1:1", Zone: "north", Capacity: 4, CapacityShare: 1}
	node    = membership.Node{
		Addr: "127.0.0.1:2", Incarnation: 7, Version: 3, Zone: "north", AppliedRevision: 5, Backends: []membership.Backend{backend}, Refutation: 1,
		Suspects: []membership.Suspicion{{Addr: "127.0.0.1:3"}}, OpenRequests: map[string]int64{"north": 1}, Budgets: map[string]retrybudget.Counts{"c": {}}, Sequence: 2,
	}
	replica      = membership.Replica{MemberID: 2, MemberCount: 3, Addr: "127.0.0.1:4", Incarnation: 9, Zone: "north", Established: true, Members: []int{1, 2, 3}, AcceptedRevision: 4, Digest: 8}
	peer         = membership.Peer{Addr: node.Addr, Incarnation: 7, Version: 3, Status: &membership.PeerStatus{Age: 20, AppliedRevision: 5, QuorumLost: true}}
	controlState = config.ControlState{Revision: 5, ConfigurationRevision: 4, Configuration: []byte(`{}`), EvacuatedByOperator: []string{"north"}, Members: []config.Member{{MemberID: 1, DiskID: 11}, {MemberID: 2, DiskID: 12}}, HighestMemberID: 2}
	position     = consensus.Position{Term: 65537, Revision: 5}
	sender       = consensus.Sender{MemberID: 1}
)

// kinds are all messages on the wire, in both directions. The corpus under testdata refers to them by
// index, so new ones are added at the end.
var kinds = []kind{
	newKind("hello", transport.Hello{Version: 1, Node: "n", Incarnation: 7}, func(transport.Hello) {}),
	newKind(membership.KindHeartbeat, membership.Heartbeat{Node: &node, Replica: &replica, KnownReplicas: []membership.Replica{replica}, TableDigest: 3, KnownDigest: 8}, handleHeartbeat),
	newKind(membership.KindProbe, membership.Probe{Incarnation: 7, Refutation: 1}, handleProbe),
	newKind(membership.KindGossip, membership.GossipRequest{Sender: peer, Digest: 3, Fetch: &membership.Fetch{Nodes: []string{"x"}, State: true, Revision: 4}}, func(membership.GossipRequest) {}),
	newKind("gossip response", membership.GossipResponse{Peers: []membership.Peer{peer}, State: &controlState, Nodes: []membership.Node{node}, KnownReplicas: []membership.Replica{replica}}, handleGossipReply),
	newKind(watch.KindWatch, watch.Request{LogID: 1, Offset: 1, Wait: time.Second}, handleWatch),
	newKind("updates", watch.Updates{LogID: 1, Offset: 2, Snapshot: true, Events: []watch.Event{{State: &controlState}, {Node: &node}, {RemovedNode: "x"}}, Age: time.Second}, handleUpdates),
	newKind(consensus.KindMessage, consensus.Message{Sender: sender, Type: consensus.MsgAccept, Term: 65537, Position: position, State: controlState}, handleMessage),
	newKind("reply", consensus.Reply{Sender: sender, Type: consensus.MsgPrepare, Granted: true, Position: position, State: controlState, MemberRecords: map[int]consensus.MemberRecord{1: {Incarnation: 1}}}, handleReply),
	newKind(consensus.KindCommand, consensus.Command{ID: 1, Kind: consensus.CommandEvacuate, Zone: "north"}, func(consensus.Command) {}),
	newKind(consensus.KindDeltaCommand, config.Patch{Delta: []byte{8, 1, 2, 3, 4}}, handlePatch),
	newKind("command result", consensus.CommandResult{ID: 1, Outcome: consensus.OutcomeCommitted}, func(consensus.CommandResult) {}),
	newKind(consensus.KindJoin, consensus.JoinRequest{DiskID: 5, Addr: "127.0.0.1:5", Zone: "north"}, handleJoinRequest),
	newKind(tracestore.KindPublish, tracestore.Batch{Events: []trace.Event{{Trace: trace.Root().Trace, Route: "w"}}}, handleBatch),
	newKind(tracestore.KindTrace, tracestore.Query{Trace: trace.Root().Trace}, func(tracestore.Query) {}),
	newKind(keyreplication.KindStore, keyreplication.Record{Owner: "o", Incarnation: 1, Sequence: 1, Key: idempotency.Key{Text: "k"}, TTL: time.Minute, Response: []byte("r")}, handleRecord),
	newKind("store reply", keyreplication.StoreReply{Accepted: true, Existing: &keyreplication.Record{Owner: "o"}}, func(keyreplication.StoreReply) {}),
	newKind(keyreplication.KindHandover, keyreplication.HandoverRequest{Owner: "o", Incarnation: 2}, func(q keyreplication.HandoverRequest) { keyreplication.NewReplicaStore().Handover(q, 0) }),
	newKind("handover reply", keyreplication.HandoverReply{Records: []keyreplication.Record{{Owner: "o", Sequence: 1}}}, handleHandover),
	newKind(proxy.KindAttempt, proxy.Attempt{ID: "x", Service: "s", Instance: "i", Incarnation: 7, Method: "GET", URI: "/", Timeout: time.Second}, func(proxy.Attempt) {}),
	newKind("attempt response", proxy.AttemptResponse{ID: "x", Outcome: routing.Answered, Status: 200, Body: []byte("ok")}, func(proxy.AttemptResponse) {}),
	newKind(proxy.KindCancel, proxy.CancelRequest{ID: "x", Incarnation: 7}, func(proxy.CancelRequest) {}),
	newKind("receipt", proxy.Response{Status: 200, Body: []byte("ok"), Outcome: routing.Answered}, func(proxy.Response) {}),
}

// buildView makes a view of nodes.
func buildView(nodes ...membership.Node) {
	all := map[string]membership.Node{}
	for _, n := range nodes {
		all[n.Addr] = n
	}
	membership.NewView(all, nil).Nodes()
}

// handleHeartbeat does what replicas and sidecars do with a heartbeat.
func handleHeartbeat(h membership.Heartbeat) {
	now := time.Now()
	replicas, _ := membership.ReplicaTable{}.ObserveHeartbeat(h, now)
	replicas, _ = replicas.ObserveHeartbeat(h, now.Add(membership.HeartbeatInterval))
	replicas.Live(now)
	replicas.QuorumLost(now)
	replicas.MedianClock(now, 1, now)
	replicas.Respond(h, &replica, replicas.Digest(&replica))
	f := watch.NewEventLog(1, 0)
	if h.Node != nil {
		f.ObserveNode(*h.Node, 0)
		f.ObserveDepartures(*h.Node, 0)
	}
	if h.NodeStatus != nil {
		f.ObserveStatus(*h.NodeStatus, time.Second)
	}
	f.Tick(time.Second)
	f.Suspected()
	retrybudget.Merge(f.Budgets())
	f.DrainStatus("north", time.Second)
	budgets := retrybudget.NewLatencyBudgets()
	budgets.SetGlobal(h.Budgets)
	budgets.Totals()
}

// handleProbe does what a sidecar does with the answer to a probe.
func handleProbe(p membership.Probe) {
	w := membership.NewFailureDetector("127.0.0.1:2")
	w.Monitored([]string{"127.0.0.1:3"})
	w.ObserveProbe("127.0.0.1:3", &p, false)
	w.Suspects(map[string]membership.Node{"127.0.0.1:3": {}})
}

// handleGossipReply does what a sidecar does with the answer to a gossip request.
func handleGossipReply(g membership.GossipResponse) {
	now := time.Now()
	s := membership.PeerStatusTable{}.Observe("127.0.0.1:9", g.Peers, now, now)
	view := membership.NewView(map[string]membership.Node{node.Addr: node}, nil)
	s.Outdated(view, g.Peers)
	s.Report(peer, view, now.Add(membership.HeartbeatInterval))
	s.NewestAbove(1)
	s.ConfirmedAsOf("127.0.0.1:9", 5, []string{node.Addr}, now)
	c := watch.NewMirror()
	c.MergeNodes(g.Nodes, map[string]uint64{node.Addr: 7})
	buildView(g.Nodes...)
	handleHeartbeat(membership.Heartbeat{KnownReplicas: g.KnownReplicas})
	applyState(g.State)
}

// applyState does what a sidecar does with a new control state.
func applyState(state *config.ControlState) {
	if state == nil {
		return
	}
	state.EvacuatedZones()
	if t, ok := routing.NewTable(*state); ok {
		t.Match("x", "/", "GET")
	}
}

// handleWatch does what a replica does with a watch request.
func handleWatch(q watch.Request) {
	f := watch.NewEventLog(1, 0)
	f.ObserveNode(node, 0)
	f.ObserveCommitted(controlState)
	for _, feedID := range []uint64{q.LogID, 1} {
		q.LogID = feedID
		f.Since(q)
	}
}

// handleUpdates does what a sidecar does with updates.
func handleUpdates(n watch.Updates) {
	c := watch.NewMirror()
	state, _ := c.Apply(n)
	applyState(state)
	c.Apply(n)
}

// acceptor is a member that has accepted a state.
func acceptor() consensus.Acceptor {
	return consensus.Acceptor{Self: sender, Position: position, State: controlState, MemberRecords: map[int]consensus.MemberRecord{}}
}

// handleMessage does what a member does with a consensus message.
func handleMessage(b consensus.Message) {
	next, _ := acceptor().Step(b)
	next, _ = next.Step(b)
	next.MemberSets()
	applyState(&next.State)
}

// handleReply does what a proposer does with a reply.
func handleReply(v consensus.Reply) {
	v.FromMember(controlState.Members[0])
	consensus.HighestReply(map[int]consensus.Reply{1: v}, acceptor().MemberSets())
}

// handlePatch does what a receiver of a patch does.
func handlePatch(p config.Patch) {
	base, err := config.NewVersion(controlState)
	if err != nil {
		panic(err)
	}
	base.Apply(p)
	p.Base = base.Fingerprint
	base.Apply(p)
	var kept config.VersionHistory
	kept.Add(base)
	kept.Apply(p)
}

// handleJoinRequest does what the coordinator does with a request to join.
func handleJoinRequest(a consensus.JoinRequest) {
	u := consensus.MembershipPlanner{RemovalDelay: time.Second}
	u = u.Observe(controlState.Members, nil, time.Second)
	u.PlanJoin(a, acceptor(), map[int]consensus.MemberStatus{1: {Addr: a.Addr}}, 2*time.Second)
}

// handleBatch does what the trace store does with events.
func handleBatch(b tracestore.Batch) {
	for _, e := range b.Events {
		tracestore.BuildTree(e.Trace, b.Events)
	}
}

// handleRecord does what a replica of a key does with its record.
func handleRecord(e keyreplication.Record) {
	h := keyreplication.NewReplicaStore()
	h.Store(e, 0)
	h.Store(e, time.Second)
	h.Handover(keyreplication.HandoverRequest{Owner: e.Owner}, time.Second)
	h.Release(e)
	if n, completed := h.Count(); n < 0 || completed < 0 || completed > n {
		panic("the count of claims is wrong")
	}
}

// handleHandover does what the owner of keys does with a handover.
func handleHandover(h keyreplication.HandoverReply) {
	t := keyreplication.NewReplicationTracker("o", "north")
	for _, e := range h.Records {
		t.AddReplica(e, node, 0)
		t.Complete(e, time.Second)
		t.MissingReplicas([]membership.Node{node}, 9, time.Second)
		t.Remove(e)
	}
}

// Each sample can be parsed again, and none of its truncations can, so that the seeds of the
// fuzzing reach the code that they are for.
func TestSamples(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			b, err := msgpack.Marshal(k.sample)
			if err != nil || !k.handle(b) {
				t.Fatal(err)
			}
			parsed := reflect.New(reflect.TypeOf(k.sample))
			if err := transport.Unmarshal(b, parsed.Interface()); err != nil {
				t.Error(err)
			}
			for length := range b {
				if k.handle(b[:length]) {
					t.Errorf("it was parsed though truncated to %d of %d bytes", length, len(b))
				}
			}
		})
	}
}

// FuzzMessage: whatever bytes a message holds, they can't be parsed, or what acts on them does not panic.
func FuzzMessage(f *testing.F) {
	for i, k := range kinds {
		b, err := msgpack.Marshal(k.sample)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), b)
	}
	f.Fuzz(func(_ *testing.T, i uint8, b []byte) {
		kinds[int(i)%len(kinds)].handle(b)
	})
}
