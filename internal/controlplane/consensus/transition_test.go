package consensus

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/transport"
)

// diskGate holds up or fails what is written while it is shut.
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

// replicaHarness is a keeper with a disk that can be held up, and acceptors on the wire.
type replicaHarness struct {
	*Replica
	ctx       context.Context
	vault     *storage.Store
	told      chan uint64    // stamps of settled words
	sure      chan time.Time // as of when the keeper was sure
	acceptors map[int]*slowPeer
	onDuty    atomic.Bool
}

// Addr implements Peers.
func (*replicaHarness) Addr(int) (string, bool) { return "", false }

// IsCoordinator implements Peers.
func (h *replicaHarness) IsCoordinator() bool { return h.onDuty.Load() }

// newReplicaHarness starts the keeper of slot 1 of 3, which holds the word of a mark; others are
// acceptors on the wire that hold theirs.
func newReplicaHarness(t *testing.T, own Position, others map[int]Position) *replicaHarness {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	h := &replicaHarness{ctx: ctx, told: make(chan uint64, 64), sure: make(chan time.Time, 1024), acceptors: map[int]*slowPeer{}}
	members := []config.Member{{MemberID: 1, DiskID: 1}}
	peers := addresses{}
	for memberID := 2; memberID <= 3; memberID++ {
		m := config.Member{MemberID: memberID, DiskID: uint64(memberID), Addr: "127.0.0.1:1"} // nobody listens
		if _, ok := others[memberID]; ok {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			p := &slowPeer{}
			h.acceptors[memberID] = p
			h := &transport.Server{Actors: actors, Listener: ln, Hello: transport.Hello{Version: transport.ProtocolVersion, Node: ln.Addr().String()}, Handlers: map[string]transport.Handler{KindMessage: p.handleMessage}}
			actors.Go(ctx, "host", h.Run)
			m.Addr = ln.Addr().String()
		}
		peers[memberID] = m.Addr
		members = append(members, m)
	}
	holds := func(memberID int, position Position) Acceptor {
		state := config.ControlState{Revision: position.Revision, ConfigurationRevision: position.Revision, Members: members, HighestMemberID: 3}
		return Acceptor{Self: Sender{MemberID: memberID, Incarnation: 1, DiskID: uint64(memberID)}, Phase: PhaseEstablished, Promised: position.Term, Position: position, State: state, PromiseDirty: true, StateDirty: true}
	}
	for memberID, position := range others {
		h.acceptors[memberID].acceptor = holds(memberID, position)
	}
	v, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	h.vault = v
	if err := (&StateStore{Store: v}).Save(holds(1, own)); err != nil {
		t.Fatal(err)
	}
	if h.Replica, err = NewReplica(actors, &StateStore{Store: v}, Bootstrap{}); err != nil {
		t.Fatal(err)
	}
	h.Client, h.Log, h.Peers = transport.NewClient(actors, transport.Hello{Version: transport.ProtocolVersion, Node: "own"}, nil), slog.New(slog.DiscardHandler), h
	h.OnCommit = func(_ context.Context, state config.ControlState) { h.told <- state.Revision }
	h.OnReadConfirmed = func(_ context.Context, at time.Time) { h.sure <- at }
	actors.Go(ctx, "net", h.Client.Run)
	return h
}

// blockDisk holds up what is written from now on.
func (h *replicaHarness) blockDisk() *diskGate {
	g := &diskGate{open: make(chan struct{})}
	h.vault.BeforeWrite = g.before
	return g
}

// run starts the keeper's clock.
func (h *replicaHarness) run() { h.Actors.Go(h.ctx, "keeper", h.Run) }

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
	acceptor, err := (&StateStore{Store: h.vault}).Load(Bootstrap{})
	if err != nil {
		t.Fatal(err)
	}
	return acceptor
}

// While the disk stalls no vote is given for what is not on it, and what only shows the
// acceptor is answered at once, from what is. Once the disk goes on, the votes come in the
// order of the ballots.
func TestRepliesWaitForTheDisk(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, nil)
	self := h.Acceptor().Self
	g := h.blockDisk()
	term := uint64(2<<17 + 1)
	votes := make(chan *Reply, 3)
	word := func(revision uint64) config.ControlState {
		state := h.Acceptor().State
		state.Revision = revision
		return state
	}
	for _, message := range []Message{
		{Sender: self, Type: MsgPrepare, Term: term},
		{Sender: self, Type: MsgAccept, Term: term, Position: Position{term, 5}, State: word(5)},
		{Sender: self, Type: MsgAccept, Term: term, Position: Position{term, 6}, State: word(6)},
	} {
		h.mailbox.Send(h.ctx, messageEvent{message, votes})
	}
	for range 20 {
		reply := h.stepAcceptor(h.ctx, Message{Sender: self, Type: MsgReadIndex})
		if reply == nil || reply.Promised != 1<<17 || reply.Position.Revision != 5 {
			t.Fatalf("shown while the disk stalls: %+v", reply)
		}
	}
	if len(votes) > 0 {
		t.Fatalf("voted before it was on disk: %+v", <-votes)
	}
	close(g.open)
	for _, want := range []Position{{1 << 17, 5}, {term, 5}, {term, 6}} {
		reply := receive(t, h, votes)
		if reply == nil || !reply.Granted || reply.Position != want {
			t.Errorf("vote %+v, not for %+v", reply, want)
		}
		if d := h.loadFromDisk(t); d.Promised != term || d.Position.Compare(want) < 0 {
			t.Errorf("voted for %+v with promise %d and %+v on disk", want, d.Promised, d.Position)
		}
	}
}

// A disk that takes no writes gives no votes, the core tells that it is unable, and
// that it is able again once the disk is well, though nobody asks it for a vote.
func TestFullDiskIsUnhealthy(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{2: {1 << 17, 5}})
	turned := make(chan bool, 16)
	h.OnHealthChange = func() { turned <- h.Healthy() }
	g := h.blockDisk()
	g.failing.Store(true)
	close(g.open)
	self := h.Acceptor().Self
	if reply := h.stepAcceptor(h.ctx, Message{Sender: self, Type: MsgPrepare, Term: 2<<17 + 1}); reply != nil {
		t.Errorf("voted: %+v", reply)
	}
	h.run()
	if receive(t, h, turned) {
		t.Error("able with a full disk")
	}
	g.failing.Store(false)
	if !receive(t, h, turned) {
		t.Error("unable with a disk that is well")
	}
}

// A settled word is passed on though the own disk does not take it.
func TestCommitDeliveredDespiteStalledDisk(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, nil)
	h.blockDisk()
	state := h.Acceptor().State
	state.Revision = 6
	h.mailbox.Send(h.ctx, messageEvent{Message{Sender: Sender{MemberID: 2, Incarnation: 1, DiskID: 2}, Type: MsgCommit, Term: 1 << 17, Position: Position{1 << 17, 6}, State: state}, make(chan *Reply, 1)})
	if got := receive(t, h, h.told); got != 6 {
		t.Errorf("told of %d", got)
	}
	if got := h.Acceptor().Position.Revision; got != 5 {
		t.Errorf("the acceptor shows %d, which is not on disk", got)
	}
}

// A word that a proposer left with one other core only, as a look shows, is finished by the
// core on duty, which has it not: else no core would ever be sure again.
func TestUncommittedStateElsewhereIsRefreshed(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{3: {1 << 17, 6}})
	self := h.Acceptor()
	if reply := h.stepAcceptor(h.ctx, Message{Sender: self.Self, Type: MsgCommit, Term: self.Position.Term, Position: self.Position, State: self.State}); reply == nil || reply.Committed != 5 {
		t.Fatalf("its own word is not settled: %+v", reply)
	}
	h.onDuty.Store(true)
	h.run()
	h.eventually(t, "stamp 6 to be settled", func() bool {
		acceptor := h.Acceptor()
		return acceptor.Position.Revision == 6 && acceptor.Committed == 6
	})
	for len(h.sure) > 0 {
		<-h.sure
	}
	receive(t, h, h.sure)
}

// A word that majorities hold and nobody says is settled, since its proposer stopped, is
// settled by a look, without the core on duty, and though the own disk stalls.
func TestCommitLearnedByReadIndex(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{2: {1 << 17, 6}, 3: {1 << 17, 6}})
	h.blockDisk()
	h.run()
	if got := receive(t, h, h.told); got != 6 {
		t.Errorf("told of %d", got)
	}
	receive(t, h, h.sure)
}

// A core without contact to a majority takes no order, and says at once that it will
// not be; it raises no epoch meanwhile.
func TestNoCommandWithoutMajority(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, nil)
	h.onDuty.Store(true)
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

// A core whose contact is old, as one that was frozen or late, asks for it before it
// takes an order, and takes it then.
func TestCommandRegainsContact(t *testing.T) {
	h := newReplicaHarness(t, Position{1 << 17, 5}, map[int]Position{2: {1 << 17, 5}})
	h.onDuty.Store(true)
	h.eventually(t, "the contact to be old", func() bool { return !h.Connected() }) // it looks at nobody yet
	h.run()
	if result := h.Submit(h.ctx, Command{Kind: CommandEvacuate, Zone: "north"}); result.Outcome != OutcomeCommitted {
		t.Errorf("%+v", result)
	}
}
