package consensus

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/transport"
)

// diskGate holds up or fails what is written while it is closed.
type diskGate struct {
	open    chan struct{}
	failing atomic.Bool
}

func (g *diskGate) before() error {
	<-g.open
	if g.failing.Load() {
		return syscall.ENOSPC
	}
	return nil
}

// replicaHarness is a replica with a disk that can be held up, and acceptors on the wire.
type replicaHarness struct {
	*Replica
	ctx         context.Context
	store       *storage.Store
	committed   chan uint64    // the revisions passed to OnCommit
	confirmed   chan time.Time // the moments passed to OnReadConfirmed
	changed     chan bool      // Healthy, whenever OnHealthChange was called
	acceptors   map[int]*slowPeer
	coordinator atomic.Bool
}

// Addr implements Peers.
func (*replicaHarness) Addr(int) (string, bool) { return "", false }

// IsCoordinator implements Peers.
func (h *replicaHarness) IsCoordinator() bool { return h.coordinator.Load() }

// newReplicaHarness starts the replica of member 1 of 3, which holds the state of a position;
// others are acceptors on the wire that hold theirs.
func newReplicaHarness(t *testing.T, own Position, others map[int]Position) *replicaHarness {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	actors := newTestActors(t)
	h := &replicaHarness{
		ctx: ctx, acceptors: map[int]*slowPeer{},
		committed: make(chan uint64, 64), confirmed: make(chan time.Time, 1024), changed: make(chan bool, 64),
	}
	members := []config.Member{{MemberID: 1, DiskID: 1}}
	for memberID := 2; memberID <= 3; memberID++ {
		m := config.Member{MemberID: memberID, DiskID: uint64(memberID), Addr: "127.0.0.1:1"} // nobody listens
		if _, ok := others[memberID]; ok {
			h.acceptors[memberID] = &slowPeer{}
			m.Addr = h.acceptors[memberID].serve(ctx, t, actors)
		}
		members = append(members, m)
	}
	holds := func(memberID int, position Position) Acceptor {
		state := config.ControlState{Revision: position.Revision, ConfigurationRevision: position.Revision, Members: members, HighestMemberID: 3}
		return Acceptor{Self: Sender{MemberID: memberID, Incarnation: 1, DiskID: uint64(memberID)}, Phase: PhaseEstablished, Promised: position.Term, Position: position, State: state, PromiseDirty: true, StateDirty: true}
	}
	for memberID, position := range others {
		h.acceptors[memberID].acceptor = holds(memberID, position)
	}
	store, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	h.store = store
	if err := (&StateStore{Store: store}).Save(holds(1, own)); err != nil {
		t.Fatal(err)
	}
	client := transport.NewClient(actors, transport.Hello{Version: transport.ProtocolVersion, Node: "own"}, nil)
	deps := testDeps(actors, client, h)
	deps.OnCommit = func(_ context.Context, state config.ControlState) { h.committed <- state.Revision }
	deps.OnReadConfirmed = func(_ context.Context, at time.Time) { h.confirmed <- at }
	deps.OnHealthChange = func() { h.changed <- h.Healthy() }
	if h.Replica, err = New(Config{Store: store}, deps); err != nil {
		t.Fatal(err)
	}
	actors.Go(ctx, "client", client.Run)
	return h
}

// blockDisk holds up what is written from now on.
func (h *replicaHarness) blockDisk() *diskGate {
	g := &diskGate{open: make(chan struct{})}
	h.store.BeforeWrite = g.before
	return g
}

// run starts the replica's timers.
func (h *replicaHarness) run() { h.deps.Actors.Go(h.ctx, "replica", h.Run) }

// eventually waits until something holds.
func (h *replicaHarness) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-h.ctx.Done():
			t.Fatalf("waited in vain for: %s", what)
		}
	}
}

// receive takes, or fails the test when its time is over.
func receive[T any](t *testing.T, h *replicaHarness, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-h.ctx.Done():
		t.Fatal("waited in vain")
		panic("not reached")
	}
}

// loadFromDisk is what a restart would find.
func (h *replicaHarness) loadFromDisk(t *testing.T) Acceptor {
	t.Helper()
	acceptor, err := (&StateStore{Store: h.store}).Load(Bootstrap{})
	if err != nil {
		t.Fatal(err)
	}
	return acceptor
}

// While the disk stalls no reply is sent for what is not on it, and a read is answered at
// once, from what is. Once the disk goes on, the replies come in the order of the messages.
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
			t.Fatalf("shown while the disk stalls: %+v", reply)
		}
	}
	if len(replies) > 0 {
		t.Fatalf("replied before it was on disk: %+v", <-replies)
	}
	close(g.open)
	for _, want := range []Position{{1 << 17, 5}, {term, 5}, {term, 6}} {
		reply := receive(t, h, replies)
		if reply == nil || !reply.Granted || reply.Position != want {
			t.Errorf("reply %+v, not for %+v", reply, want)
		}
		if d := h.loadFromDisk(t); d.Promised != term || d.Position.Compare(want) < 0 {
			t.Errorf("replied for %+v with promise %d and %+v on disk", want, d.Promised, d.Position)
		}
	}
}

// With a disk that takes no writes the acceptor gives no replies, and the replica is
// unhealthy; it is healthy again once the disk is, though no message comes.
func TestFullDiskIsUnhealthy(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{2: {1 << 17, 5}})
	g := h.blockDisk()
	g.failing.Store(true)
	close(g.open)
	self := h.Acceptor().Self
	if reply := h.stepAcceptor(h.ctx, Message{Sender: self, Type: MsgPrepare, Term: 2<<17 + 1}); reply != nil {
		t.Errorf("replied: %+v", reply)
	}
	h.run()
	if receive(t, h, h.changed) {
		t.Error("healthy with a full disk")
	}
	g.failing.Store(false)
	if !receive(t, h, h.changed) {
		t.Error("unhealthy with a healthy disk")
	}
}

// A committed state is delivered though the local disk does not take it.
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
		t.Errorf("the acceptor shows %d, which is not on disk", got)
	}
}

// A state that a proposer left with one other replica only, as a quorum read shows, is
// committed by the coordinator, which does not hold it: else no read would be confirmed again.
func TestUncommittedStateElsewhereIsRefreshed(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{3: {1 << 17, 6}})
	self := h.Acceptor()
	if reply := h.stepAcceptor(h.ctx, Message{Sender: self.Self, Type: MsgCommit, Term: self.Position.Term, Position: self.Position, State: self.State}); reply == nil || reply.Committed != 5 {
		t.Fatalf("its own state is not committed: %+v", reply)
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

// A state that majorities hold and no replica knows to be committed, since its proposer
// stopped, is committed by a quorum read, without the coordinator, and though the local disk
// stalls.
func TestCommitLearnedByReadIndex(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{2: {1 << 17, 6}, 3: {1 << 17, 6}})
	h.blockDisk()
	h.run()
	if got := receive(t, h, h.committed); got != 6 {
		t.Errorf("delivered %d", got)
	}
	receive(t, h, h.confirmed)
}

// A replica without contact to a majority rejects commands at once; it raises no term
// meanwhile.
func TestNoCommandWithoutMajority(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, nil)
	h.coordinator.Store(true)
	h.run()
	h.eventually(t, "the contact to be missed", func() bool { return !h.Connected() })
	promised := h.Acceptor().Promised
	for range 20 {
		if result := h.Submit(h.ctx, Command{Kind: CommandEvacuate, Zone: "north"}); result.Outcome != OutcomeRejected {
			t.Fatalf("%+v", result)
		}
	}
	if acceptor := h.Acceptor(); acceptor.Promised != promised || acceptor.Position.Revision != 5 {
		t.Errorf("it promised %d, then %d, and holds %+v", promised, acceptor.Promised, acceptor.Position)
	}
}

// A replica whose contact is old, as one that was suspended or late, asks a majority before it
// takes a command, and takes it then.
func TestCommandRegainsContact(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{2: {1 << 17, 5}})
	h.coordinator.Store(true)
	h.eventually(t, "the contact to be old", func() bool { return !h.Connected() }) // it asks nobody yet
	h.run()
	if result := h.Submit(h.ctx, Command{Kind: CommandEvacuate, Zone: "north"}); result.Outcome != OutcomeCommitted {
		t.Errorf("%+v", result)
	}
}
