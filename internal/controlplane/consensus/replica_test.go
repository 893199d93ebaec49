package consensus

import (
	"context"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/transport"
)

// While the disk is blocked, no reply is sent for a state that is not on disk, and a read is
// answered immediately from the state on disk. Once the disk is unblocked, the replies are sent
// in the order of the messages.
func TestRepliesWaitForTheDisk(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, nil)
	self := h.Acceptor().Self
	g := h.blockDisk()
	term := uint64(2<<17 + 1)
	replies := make(chan *Reply, 3)
	stateAt := func(revision uint64) config.ControlState {
		state := h.Acceptor().State
		state.Revision = revision
		return state
	}
	for _, message := range []Message{
		{Sender: self, Type: MsgPrepare, Term: term},
		{Sender: self, Type: MsgAccept, Term: term, Position: Position{term, 5}, State: stateAt(5)},
		{Sender: self, Type: MsgAccept, Term: term, Position: Position{term, 6}, State: stateAt(6)},
	} {
		h.mailbox.Send(h.ctx, messageEvent{message, replies})
	}
	for range 20 {
		reply := h.stepAcceptor(h.ctx, Message{Sender: self, Type: MsgReadIndex})
		if reply == nil || reply.Promised != 1<<17 || reply.Position.Revision != 5 {
			t.Fatalf("read reply while the disk is blocked = %+v, want the state on disk", reply)
		}
	}
	if len(replies) > 0 {
		t.Fatalf("reply sent before the state was on disk: %+v", <-replies)
	}
	close(g.open)
	for _, want := range []Position{{1 << 17, 5}, {term, 5}, {term, 6}} {
		reply := receive(t, h, replies)
		if reply == nil || !reply.Granted || reply.Position != want {
			t.Errorf("reply = %+v, want granted at %+v", reply, want)
		}
		if d := h.loadFromDisk(t); d.Promised != term || d.Position.Compare(want) < 0 {
			t.Errorf("reply sent for %+v while promise %d and position %+v were on disk", want, d.Promised, d.Position)
		}
	}
}

// While the disk rejects writes, the acceptor does not reply and the replica is unhealthy. It
// becomes healthy again once the disk accepts writes, even if no message arrives.
func TestFullDiskIsUnhealthy(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{2: {1 << 17, 5}})
	g := h.blockDisk()
	g.failing.Store(true)
	close(g.open)
	self := h.Acceptor().Self
	if reply := h.stepAcceptor(h.ctx, Message{Sender: self, Type: MsgPrepare, Term: 2<<17 + 1}); reply != nil {
		t.Errorf("reply with a full disk = %+v, want none", reply)
	}
	h.run()
	if receive(t, h, h.changed) {
		t.Error("healthy with a full disk")
	}
	g.failing.Store(false)
	if !receive(t, h, h.changed) {
		t.Error("unhealthy although the disk accepts writes again")
	}
}

// A committed state is delivered even if the local disk is blocked.
func TestCommitDeliveredDespiteStalledDisk(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, nil)
	h.blockDisk()
	state := h.Acceptor().State
	state.Revision = 6
	h.mailbox.Send(h.ctx, messageEvent{Message{Sender: Sender{MemberID: 2, Incarnation: 1, DiskID: 2}, Type: MsgCommit, Term: 1 << 17, Position: Position{1 << 17, 6}, State: state}, make(chan *Reply, 1)})
	if got := receive(t, h, h.committed); got != 6 {
		t.Errorf("delivered %d", got)
	}
	if got := h.Acceptor().Position.Revision; got != 5 {
		t.Errorf("acceptor shows revision %d, want 5, the one on disk", got)
	}
}

// A quorum read finds a state that a proposer left with only one other replica. The coordinator
// commits it although it does not hold it. Otherwise no read would be confirmed again.
func TestUncommittedStateElsewhereIsRefreshed(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{3: {1 << 17, 6}})
	self := h.Acceptor()
	if reply := h.stepAcceptor(h.ctx, Message{Sender: self.Self, Type: MsgCommit, Term: self.Position.Term, Position: self.Position, State: self.State}); reply == nil || reply.Committed != 5 {
		t.Fatalf("reply to the commit of its own state = %+v, want revision 5 committed", reply)
	}
	h.coordinator.Store(true)
	h.run()
	h.eventually(t, "revision 6 to be committed", func() bool {
		acceptor := h.Acceptor()
		return acceptor.Position.Revision == 6 && acceptor.Committed == 6
	})
	for len(h.confirmed) > 0 {
		<-h.confirmed
	}
	receive(t, h, h.confirmed)
}

// A majority holds a state that no replica knows to be committed, since its proposer stopped. A
// quorum read commits it without the coordinator and while the local disk is blocked.
func TestCommitLearnedByReadIndex(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{2: {1 << 17, 6}, 3: {1 << 17, 6}})
	h.blockDisk()
	h.run()
	if got := receive(t, h, h.committed); got != 6 {
		t.Errorf("delivered %d", got)
	}
	receive(t, h, h.confirmed)
}

// A replica without contact to a majority rejects commands immediately and does not raise its
// term.
func TestNoCommandWithoutMajority(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, nil)
	h.coordinator.Store(true)
	h.run()
	h.eventually(t, "no recent quorum contact", func() bool { return !h.Connected() })
	promised := h.Acceptor().Promised
	for range 20 {
		if result := h.Submit(h.ctx, Command{Kind: CommandEvacuate, Zone: "north"}); result.Outcome != OutcomeRejected {
			t.Fatalf("result = %+v, want rejected", result)
		}
	}
	if acceptor := h.Acceptor(); acceptor.Promised != promised || acceptor.Position.Revision != 5 {
		t.Errorf("promise changed from %d to %d, position = %+v; want no change and revision 5", promised, acceptor.Promised, acceptor.Position)
	}
}

// A replica whose last quorum contact is old, for example after a suspension or a scheduling
// delay, contacts a majority when it receives a command. If a majority answers, the replica
// executes the command instead of rejecting it.
func TestCommandRegainsContact(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{2: {1 << 17, 5}})
	h.coordinator.Store(true)
	h.eventually(t, "no recent quorum contact", func() bool { return !h.Connected() }) // its timers are not started yet
	h.run()
	if result := h.Submit(h.ctx, Command{Kind: CommandEvacuate, Zone: "north"}); result.Outcome != OutcomeCommitted {
		t.Errorf("result = %+v, want committed", result)
	}
}

// IsCoordinator implements Peers.
func (addresses) IsCoordinator() bool { return false }

// The static membership is granted more slowly than a replica with an empty disk retries its
// request. The replica must join under the incarnation that the other members have recorded.
// Otherwise its replies would not count.
func TestJoinGrantedSlowly(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	actors := newTestActors(t)
	peers, others := addresses{}, []*slowPeer{}
	for memberID := 1; memberID <= 2; memberID++ {
		acceptor := establishedAcceptor(memberID, Position{4, 2}, config.ControlState{Revision: 2, ConfigurationRevision: 2})
		acceptor.StaticSize, acceptor.Committed = 3, 2
		acceptor.MemberRecords = map[int]MemberRecord{1: {Incarnation: 1, DiskID: 1}, 2: {Incarnation: 1, DiskID: 2}, 3: {Incarnation: 1, DiskID: 77}}
		acceptor.Self = Sender{MemberID: memberID, Incarnation: 1, DiskID: uint64(memberID)}
		p := &slowPeer{acceptor: acceptor, joinDelay: 700 * time.Millisecond}
		others = append(others, p)
		peers[memberID] = p.serve(ctx, t, actors)
	}
	store := openTestStore(t)
	client := transport.NewClient(actors, transport.Hello{Version: transport.ProtocolVersion, Node: "new"}, nil)
	r, err := New(Config{Store: store, Bootstrap: Bootstrap{MemberID: 3, StaticSize: 3}}, testDeps(actors, client, peers))
	if err != nil {
		t.Fatal(err)
	}
	actors.Go(ctx, "client", client.Run)
	actors.Go(ctx, "replica", r.Run)
	for r.Acceptor().Phase != PhaseEstablished {
		select {
		case <-ctx.Done():
			t.Fatal("the replica did not join in time")
		case <-time.After(5 * time.Millisecond):
		}
	}
	time.Sleep(3 * attemptInterval) // allows replies to further join requests to arrive
	self := r.Acceptor().Self
	for i, p := range others {
		if record := p.memberRecord(3); !self.isCurrent(record) || record.DiskID != self.DiskID {
			t.Errorf("member %d has record %+v of member 3, which joined as %+v", i+1, record, self)
		}
	}
	if replies := CurrentReplies(r.members.collectReplies(ctx, Message{Sender: self, Type: MsgRead}, nil)); len(replies) != 3 {
		t.Errorf("%d replies count, want 3", len(replies))
	}
}
