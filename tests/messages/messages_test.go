// Package messages fuzzes the messages between processes. Each kind of message is parsed in the same
// way as by its receiver, and passed to the production code that handles it.
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

// kind is a kind of message, with a sample and its handler.
type kind struct {
	name   string
	sample any
	// handle parses and handles a message. It reports whether the message could be parsed.
	handle func(b []byte) bool
}

// newKind returns a kind of message, given a sample and the code that handles a parsed message.
func newKind[M any](name string, sample M, handle func(m M)) kind {
	return kind{name, sample, func(b []byte) bool {
		var m M
		if transport.Unmarshal(b, &m) != nil {
			return false
		}
		handle(m)
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

// kinds are all kinds of messages on the wire: requests and responses. The corpus under testdata
// refers to them by index, so new kinds must be added at the end.
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
	newKind("response", proxy.Response{Status: 200, Body: []byte("ok"), Outcome: routing.Answered}, func(proxy.Response) {}),
}

// buildView builds a view of nodes.
func buildView(nodes ...membership.Node) {
	all := map[string]membership.Node{}
	for _, n := range nodes {
		all[n.Addr] = n
	}
	membership.NewView(all, nil).Nodes()
}

// handleHeartbeat handles a heartbeat as replicas and sidecars do.
func handleHeartbeat(h membership.Heartbeat) {
	now := time.Now()
	replicas, _ := membership.ReplicaTable{}.ObserveHeartbeat(h, now)
	replicas, _ = replicas.ObserveHeartbeat(h, now.Add(membership.HeartbeatInterval))
	replicas.Live(now)
	replicas.QuorumLost(now)
	replicas.MedianClock(now, 1, now)
	replicas.Respond(h, &replica, replicas.Digest(&replica))
	events := watch.NewEventLog(1, 0)
	if h.Node != nil {
		events.ObserveNode(*h.Node, 0)
		events.ObserveDepartures(*h.Node, 0)
	}
	if h.NodeStatus != nil {
		events.ObserveStatus(*h.NodeStatus, time.Second)
	}
	events.Tick(time.Second)
	events.Suspected()
	retrybudget.Merge(events.Budgets())
	events.DrainStatus("north", time.Second)
	budgets := retrybudget.NewLatencyBudgets()
	budgets.SetGlobal(h.Budgets)
	budgets.Totals()
}

// handleProbe handles the response to a probe as a sidecar does.
func handleProbe(p membership.Probe) {
	detector := membership.NewFailureDetector("127.0.0.1:2")
	detector.Monitored([]string{"127.0.0.1:3"})
	detector.ObserveProbe("127.0.0.1:3", &p, false)
	detector.Suspects(map[string]membership.Node{"127.0.0.1:3": {}})
}

// handleGossipReply handles the response to a gossip request as a sidecar does.
func handleGossipReply(g membership.GossipResponse) {
	now := time.Now()
	statuses := membership.PeerStatusTable{}.Observe("127.0.0.1:9", g.Peers, now, now)
	view := membership.NewView(map[string]membership.Node{node.Addr: node}, nil)
	statuses.Outdated(view, g.Peers)
	statuses.Report(peer, view, now.Add(membership.HeartbeatInterval))
	statuses.NewestAbove(1)
	statuses.ConfirmedAsOf("127.0.0.1:9", 5, []string{node.Addr}, now)
	mirror := watch.NewMirror()
	mirror.MergeNodes(g.Nodes, map[string]uint64{node.Addr: 7})
	buildView(g.Nodes...)
	handleHeartbeat(membership.Heartbeat{KnownReplicas: g.KnownReplicas})
	applyState(g.State)
}

// applyState applies a new control state as a sidecar does.
func applyState(state *config.ControlState) {
	if state == nil {
		return
	}
	state.EvacuatedZones()
	if table, ok := routing.NewTable(*state); ok {
		table.Match("x", "/", "GET")
	}
}

// handleWatch handles a watch request as a replica does.
func handleWatch(r watch.Request) {
	events := watch.NewEventLog(1, 0)
	events.ObserveNode(node, 0)
	events.ObserveCommitted(controlState)
	for _, logID := range []uint64{r.LogID, 1} {
		r.LogID = logID
		events.Since(r)
	}
}

// handleUpdates applies updates, and their repetition, as a sidecar does.
func handleUpdates(u watch.Updates) {
	mirror := watch.NewMirror()
	state, _ := mirror.Apply(u)
	applyState(state)
	mirror.Apply(u)
}

// acceptor returns the acceptor of a member that has accepted a state.
func acceptor() consensus.Acceptor {
	return consensus.Acceptor{Self: sender, Position: position, State: controlState, MemberRecords: map[int]consensus.MemberRecord{}}
}

// handleMessage handles a consensus message, and its duplicate, as a member does.
func handleMessage(m consensus.Message) {
	next, _ := acceptor().Step(m)
	next, _ = next.Step(m)
	next.MemberSets()
	applyState(&next.State)
}

// handleReply handles a reply as a proposer does.
func handleReply(r consensus.Reply) {
	r.FromMember(controlState.Members[0])
	consensus.HighestReply(map[int]consensus.Reply{1: r}, acceptor().MemberSets())
}

// handlePatch applies a patch as its receiver does: with the base that the patch names, and with a
// matching base.
func handlePatch(p config.Patch) {
	base, err := config.NewVersion(controlState)
	if err != nil {
		panic(err)
	}
	base.Apply(p)
	p.Base = base.Fingerprint
	base.Apply(p)
	var history config.VersionHistory
	history.Add(base)
	history.Apply(p)
}

// handleJoinRequest handles a join request as the coordinator does.
func handleJoinRequest(r consensus.JoinRequest) {
	planner := consensus.MembershipPlanner{RemovalDelay: time.Second}
	planner = planner.Observe(controlState.Members, nil, time.Second)
	planner.PlanJoin(r, acceptor(), map[int]consensus.MemberStatus{1: {Addr: r.Addr}}, 2*time.Second)
}

// handleBatch handles a batch of trace events as the trace store does.
func handleBatch(b tracestore.Batch) {
	for _, e := range b.Events {
		tracestore.BuildTree(e.Trace, b.Events)
	}
}

// handleRecord handles the record of a key as a replica of the key does.
func handleRecord(r keyreplication.Record) {
	store := keyreplication.NewReplicaStore()
	store.Store(r, 0)
	store.Store(r, time.Second)
	store.Handover(keyreplication.HandoverRequest{Owner: r.Owner}, time.Second)
	store.Release(r)
	if n, completed := store.Count(); n < 0 || completed < 0 || completed > n {
		panic("replica store counts are inconsistent")
	}
}

// handleHandover handles a handover reply as the owner of the keys does.
func handleHandover(h keyreplication.HandoverReply) {
	tracker := keyreplication.NewReplicationTracker("o", "north")
	for _, r := range h.Records {
		tracker.AddReplica(r, node, 0)
		tracker.Complete(r, time.Second)
		tracker.MissingReplicas([]membership.Node{node}, 9, time.Second)
		tracker.Remove(r)
	}
}

// TestSamples checks that each sample can be parsed, so that the seeds of the fuzz test reach the
// handlers. It also checks that no truncated sample can be parsed.
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
					t.Errorf("message truncated to %d of %d bytes was parsed, want an error", length, len(b))
				}
			}
		})
	}
}

// FuzzMessage checks that no bytes of a message make its parser or its handler panic.
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
