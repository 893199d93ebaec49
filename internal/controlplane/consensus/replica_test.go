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

// slowPeer is an acceptor on the wire that grants a seat at once and is late to say so.
type slowPeer struct {
	mu       sync.Mutex
	acceptor Acceptor
	late     time.Duration
}

func (p *slowPeer) handleMessage(ctx context.Context, request transport.Request) (any, string) {
	var message Message
	if !request.Decode(&message) {
		return nil, "not a ballot"
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

// memberRecord is the seat that it knows of a slot.
func (p *slowPeer) memberRecord(memberID int) MemberRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acceptor.Members[memberID]
}

// addresses are peers that stay where they are.
type addresses map[int]string

func (a addresses) Addr(memberID int) (string, bool) { s, ok := a[memberID]; return s, ok }
func (addresses) IsCoordinator() bool                { return false }

// An empty core whose seat is granted more slowly than it tries for it sits, in the
// end, under the incarnation that the others know: else its votes would not count.
func TestJoinGrantedSlowly(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	peers, others := addresses{}, []*slowPeer{}
	for memberID := 1; memberID <= 2; memberID++ {
		acceptor := establishedAcceptor(memberID, Position{4, 2}, config.ControlState{Revision: 2, ConfigurationRevision: 2})
		acceptor.StaticSize, acceptor.Committed = 3, 2
		acceptor.Members = map[int]MemberRecord{1: {Incarnation: 1, DiskID: 1}, 2: {Incarnation: 1, DiskID: 2}, 3: {Incarnation: 1, DiskID: 77}}
		acceptor.Self = Sender{MemberID: memberID, Incarnation: 1, DiskID: uint64(memberID)}
		p := &slowPeer{acceptor: acceptor, late: 700 * time.Millisecond}
		others = append(others, p)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		h := &transport.Server{Actors: actors, Listener: ln, Hello: transport.Hello{Version: transport.ProtocolVersion, Node: ln.Addr().String()}, Handlers: map[string]transport.Handler{KindMessage: p.handleMessage}}
		actors.Go(ctx, "host", h.Run)
		peers[memberID] = ln.Addr().String()
	}
	disk, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r, err := NewReplica(actors, &StateStore{Store: disk}, Bootstrap{MemberID: 3, StaticSize: 3})
	if err != nil {
		t.Fatal(err)
	}
	r.Client, r.Log, r.Peers = transport.NewClient(actors, transport.Hello{Version: transport.ProtocolVersion, Node: "new"}, nil), slog.New(slog.DiscardHandler), peers
	r.OnCommit, r.OnReadConfirmed = func(context.Context, config.ControlState) {}, func(context.Context, time.Time) {}
	actors.Go(ctx, "net", r.Client.Run)
	actors.Go(ctx, "keeper", r.Run)
	for r.Acceptor().Phase != PhaseEstablished {
		select {
		case <-ctx.Done():
			t.Fatal("it never got its seat")
		case <-time.After(5 * time.Millisecond):
		}
	}
	time.Sleep(3 * joinInterval) // what else was asked for comes
	self := r.Acceptor().Self
	for i, p := range others {
		if record := p.memberRecord(3); !self.isCurrent(record) || record.DiskID != self.DiskID {
			t.Errorf("slot %d knows %+v in slot 3, which sits there as %+v", i+1, record, self)
		}
	}
	if replies := CurrentReplies(r.collectReplies(ctx, Message{Sender: self, Type: MsgRead}, nil)); len(replies) != 3 {
		t.Errorf("%d votes count", len(replies))
	}
}
