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

// slow is an acceptor on the wire that grants a seat at once and is late to say so.
type slow struct {
	mu       sync.Mutex
	acceptor Acceptor
	late     time.Duration
}

func (s *slow) ballot(ctx context.Context, in transport.Request) (any, string) {
	var b Ballot
	if !in.Into(&b) {
		return nil, "not a ballot"
	}
	s.mu.Lock()
	next, vote := s.acceptor.On(b)
	s.acceptor = next
	s.mu.Unlock()
	if b.Act == Sit {
		select {
		case <-time.After(s.late):
		case <-ctx.Done():
		}
	}
	return vote, ""
}

// knows is the seat that it knows of a slot.
func (s *slow) knows(slot int) Chair {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptor.Seats[slot]
}

// addresses are peers that stay where they are.
type addresses map[int]string

func (a addresses) Addr(slot int) (string, bool) { s, ok := a[slot]; return s, ok }
func (addresses) OnDuty() bool                   { return false }

// An empty core whose seat is granted more slowly than it tries for it sits, in the
// end, under the incarnation that the others know: else its votes would not count.
func TestSeatGrantedSlowly(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	l := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	peers, others := addresses{}, []*slow{}
	for slot := 1; slot <= 2; slot++ {
		v := seated(slot, Mark{4, 2}, config.Word{Stamp: 2, DesiredStamp: 2})
		v.Founded, v.Settled = 3, 2
		v.Seats = map[int]Chair{1: {Inc: 1, ID: 1}, 2: {Inc: 1, ID: 2}, 3: {Inc: 1, ID: 77}}
		v.Self = From{Slot: slot, Inc: 1, ID: uint64(slot)}
		s := &slow{acceptor: v, late: 700 * time.Millisecond}
		others = append(others, s)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		h := &transport.Host{Launcher: l, Listener: ln, Own: transport.Greeting{Version: transport.Version, Node: ln.Addr().String()}, Handlers: map[string]transport.Handler{KindBallot: s.ballot}}
		l.Go(ctx, "host", h.Run)
		peers[slot] = ln.Addr().String()
	}
	disk, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	k, err := NewKeeper(l, &Disk{Vault: disk}, Start{Slot: 3, Slots: 3})
	if err != nil {
		t.Fatal(err)
	}
	k.Net, k.Log, k.Peers = transport.NewNet(l, transport.Greeting{Version: transport.Version, Node: "new"}, nil), slog.New(slog.DiscardHandler), peers
	k.Settled, k.Confirmed = func(context.Context, config.Word) {}, func(context.Context, time.Time) {}
	l.Go(ctx, "net", k.Net.Run)
	l.Go(ctx, "keeper", k.Run)
	for k.Acceptor().Phase != Established {
		select {
		case <-ctx.Done():
			t.Fatal("it never got its seat")
		case <-time.After(5 * time.Millisecond):
		}
	}
	time.Sleep(3 * seatEvery) // what else was asked for comes
	self := k.Acceptor().Self
	for i, s := range others {
		if c := s.knows(3); !self.holds(c) || c.ID != self.ID {
			t.Errorf("slot %d knows %+v in slot 3, which sits there as %+v", i+1, c, self)
		}
	}
	if votes := Counted(k.gather(ctx, Ballot{From: self, Act: Read}, nil)); len(votes) != 3 {
		t.Errorf("%d votes count", len(votes))
	}
}
