package consensus

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/transport"
)

// diskGate blocks writes until open is closed, and fails them while failing is set.
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

// replicaHarness is a replica with a disk that can be blocked, and with acceptors that are
// reached over the network.
type replicaHarness struct {
	*Replica
	ctx         context.Context
	store       *storage.Store
	committed   chan uint64    // the revisions passed to OnCommit
	confirmed   chan time.Time // the times passed to OnReadConfirmed
	changed     chan bool      // the results of Healthy at the calls of OnHealthChange
	acceptors   map[int]*slowPeer
	coordinator atomic.Bool
}

// Addr implements Peers.
func (*replicaHarness) Addr(int) (string, bool) { return "", false }

// IsCoordinator implements Peers.
func (h *replicaHarness) IsCoordinator() bool { return h.coordinator.Load() }

// newReplicaHarness starts the replica of member 1 of 3, which holds a state at position own.
// The parameter others maps the remaining members that run to the positions of their states.
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
		m := config.Member{MemberID: memberID, DiskID: uint64(memberID), Addr: "127.0.0.1:1"} // no server listens on this port
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
	h.store = openTestStore(t)
	if err := newStateStore(h.store).save(holds(1, own)); err != nil {
		t.Fatal(err)
	}
	client := transport.NewClient(actors, transport.Hello{Version: transport.ProtocolVersion, Node: "own"}, nil)
	deps := testDeps(actors, client, h)
	deps.OnCommit = func(_ context.Context, state config.ControlState) { h.committed <- state.Revision }
	deps.OnReadConfirmed = func(_ context.Context, at time.Time) { h.confirmed <- at }
	deps.OnHealthChange = func() { h.changed <- h.Healthy() }
	replica, err := New(Config{Store: h.store}, deps)
	if err != nil {
		t.Fatal(err)
	}
	h.Replica = replica
	actors.Go(ctx, "client", client.Run)
	return h
}

// blockDisk blocks all writes from now on.
func (h *replicaHarness) blockDisk() *diskGate {
	g := &diskGate{open: make(chan struct{})}
	h.store.BeforeWrite = g.before
	return g
}

// run starts the replica's timers.
func (h *replicaHarness) run() { h.deps.Actors.Go(h.ctx, "replica", h.Run) }

// eventually waits until a condition holds.
func (h *replicaHarness) eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-h.ctx.Done():
			t.Fatalf("condition not met in time: %s", condition)
		}
	}
}

// receive returns the next value from a channel. It fails the test if there is none in time.
func receive[T any](t *testing.T, h *replicaHarness, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-h.ctx.Done():
		t.Fatal("no value received in time")
		panic("not reached")
	}
}

// loadFromDisk returns the acceptor that a restart would load.
func (h *replicaHarness) loadFromDisk(t *testing.T) Acceptor {
	t.Helper()
	acceptor, err := newStateStore(h.store).load(Bootstrap{})
	if err != nil {
		t.Fatal(err)
	}
	return acceptor
}

// slowPeer is an acceptor on the network that grants a MsgJoin immediately but delays the
// reply.
type slowPeer struct {
	mu        sync.Mutex
	acceptor  Acceptor
	joinDelay time.Duration
}

func (p *slowPeer) handleMessage(ctx context.Context, request transport.Request) (any, error) {
	var message Message
	if !request.Decode(&message) {
		return nil, errNotMessage
	}
	p.mu.Lock()
	next, reply := p.acceptor.Step(message)
	p.acceptor = next
	p.mu.Unlock()
	if message.Type == MsgJoin {
		select {
		case <-time.After(p.joinDelay):
		case <-ctx.Done():
		}
	}
	return reply, nil
}

// memberRecord returns the acceptor's record of a member ID.
func (p *slowPeer) memberRecord(memberID int) MemberRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acceptor.MemberRecords[memberID]
}

// addresses is an implementation of Peers with fixed addresses by member ID.
type addresses map[int]string

// Addr implements Peers.
func (a addresses) Addr(memberID int) (string, bool) { s, ok := a[memberID]; return s, ok }

// newTestActors returns an actor system in which a panic fails the test.
func newTestActors(t *testing.T) *actor.System {
	t.Helper()
	return actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
}

// testDeps returns the dependencies of a replica, with a discarded log and callbacks that do
// nothing.
func testDeps(actors *actor.System, client *transport.Client, peers Peers) Deps {
	return Deps{
		Actors: actors, Client: client, Log: slog.New(slog.DiscardHandler), Peers: peers,
		OnCommit: func(context.Context, config.ControlState) {}, OnReadConfirmed: func(context.Context, time.Time) {},
	}
}

// serve starts a server for the acceptor and returns its address.
func (p *slowPeer) serve(ctx context.Context, t *testing.T, actors *actor.System) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hello := transport.Hello{Version: transport.ProtocolVersion, Node: ln.Addr().String()}
	server := &transport.Server{Actors: actors, Listener: ln, Hello: hello, Handlers: map[string]transport.Handler{KindMessage: p.handleMessage}}
	actors.Go(ctx, "server", server.Run)
	return ln.Addr().String()
}
