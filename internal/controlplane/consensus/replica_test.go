package consensus

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/transport"
)

// slowPeer is an acceptor on the wire that grants a MsgJoin at once and is late to say so.
type slowPeer struct {
	mu       sync.Mutex
	acceptor Acceptor
	late     time.Duration
}

func (p *slowPeer) handleMessage(ctx context.Context, request transport.Request) (any, string) {
	var message Message
	if !request.Decode(&message) {
		return nil, faultMessage
	}
	p.mu.Lock()
	next, reply := p.acceptor.Step(message)
	p.acceptor = next
	p.mu.Unlock()
	if message.Type == MsgJoin {
		select {
		case <-time.After(p.late):
		case <-ctx.Done():
		}
	}
	return reply, ""
}

// memberRecord is what it knows of a member ID.
func (p *slowPeer) memberRecord(memberID int) MemberRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acceptor.Members[memberID]
}

// addresses are peers that stay where they are.
type addresses map[int]string

// Addr implements Peers.
func (a addresses) Addr(memberID int) (string, bool) { s, ok := a[memberID]; return s, ok }

// IsCoordinator implements Peers.
func (addresses) IsCoordinator() bool { return false }

// newTestActors makes an actor system in which a panic fails the test.
func newTestActors(t *testing.T) *actor.System {
	t.Helper()
	return actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
}

// testDeps are what a replica needs, without a log or anybody to call back.
func testDeps(actors *actor.System, client *transport.Client, peers Peers) Deps {
	return Deps{
		Actors: actors, Client: client, Log: slog.New(slog.DiscardHandler), Peers: peers,
		OnCommit: func(context.Context, config.ControlState) {}, OnReadConfirmed: func(context.Context, time.Time) {},
	}
}

// serve puts an acceptor on the wire, and returns its address.
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

// An empty disk whose membership is granted more slowly than it asks for it joins, in the
// end, under the incarnation that the others know: else its replies would not count.
func TestJoinGrantedSlowly(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	actors := newTestActors(t)
	peers, others := addresses{}, []*slowPeer{}
	for memberID := 1; memberID <= 2; memberID++ {
		acceptor := establishedAcceptor(memberID, Position{4, 2}, config.ControlState{Revision: 2, ConfigurationRevision: 2})
		acceptor.StaticSize, acceptor.Committed = 3, 2
		acceptor.Members = map[int]MemberRecord{1: {Incarnation: 1, DiskID: 1}, 2: {Incarnation: 1, DiskID: 2}, 3: {Incarnation: 1, DiskID: 77}}
		acceptor.Self = Sender{MemberID: memberID, Incarnation: 1, DiskID: uint64(memberID)}
		p := &slowPeer{acceptor: acceptor, late: 700 * time.Millisecond}
		others = append(others, p)
		peers[memberID] = p.serve(ctx, t, actors)
	}
	store, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
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
			t.Fatal("it never joined")
		case <-time.After(5 * time.Millisecond):
		}
	}
	time.Sleep(3 * joinInterval) // what else was asked for comes
	self := r.Acceptor().Self
	for i, p := range others {
		if record := p.memberRecord(3); !self.isCurrent(record) || record.DiskID != self.DiskID {
			t.Errorf("member %d knows %+v as member 3, which joined as %+v", i+1, record, self)
		}
	}
	if replies := CurrentReplies(r.members.collectReplies(ctx, Message{Sender: self, Type: MsgRead}, nil)); len(replies) != 3 {
		t.Errorf("%d replies count", len(replies))
	}
}
