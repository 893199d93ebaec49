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

// gate holds up or fails what is written while it is shut.
type gate struct {
	open    chan struct{}
	failing atomic.Bool
}

func (g *gate) before() error {
	<-g.open
	if g.failing.Load() {
		return syscall.ENOSPC
	}
	return nil
}

// harness is a keeper with a disk that can be held up, and acceptors on the wire.
type harness struct {
	*Keeper
	ctx       context.Context
	vault     *storage.Vault
	told      chan uint64    // stamps of settled words
	sure      chan time.Time // as of when the keeper was sure
	acceptors map[int]*slow
	onDuty    atomic.Bool
}

// Addr implements Peers.
func (*harness) Addr(int) (string, bool) { return "", false }

// OnDuty implements Peers.
func (b *harness) OnDuty() bool { return b.onDuty.Load() }

// newHarness starts the keeper of slot 1 of 3, which holds the word of a mark; others are
// acceptors on the wire that hold theirs.
func newHarness(t *testing.T, own Mark, others map[int]Mark) *harness {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	l := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	b := &harness{ctx: ctx, told: make(chan uint64, 64), sure: make(chan time.Time, 1024), acceptors: map[int]*slow{}}
	members := []config.Member{{Slot: 1, ID: 1}}
	peers := addresses{}
	for slot := 2; slot <= 3; slot++ {
		m := config.Member{Slot: slot, ID: uint64(slot), Addr: "127.0.0.1:1"} // nobody listens
		if _, ok := others[slot]; ok {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &slow{}
			b.acceptors[slot] = s
			h := &transport.Host{Launcher: l, Listener: ln, Own: transport.Greeting{Version: transport.Version, Node: ln.Addr().String()}, Handlers: map[string]transport.Handler{KindBallot: s.ballot}}
			l.Go(ctx, "host", h.Run)
			m.Addr = ln.Addr().String()
		}
		peers[slot] = m.Addr
		members = append(members, m)
	}
	holds := func(slot int, m Mark) Acceptor {
		w := config.Word{Stamp: m.Stamp, DesiredStamp: m.Stamp, Slots: members, Top: 3}
		return Acceptor{Self: From{Slot: slot, Inc: 1, ID: uint64(slot)}, Phase: Established, Promised: m.Epoch, Mark: m, Word: w, OathDirty: true, WordDirty: true}
	}
	for slot, m := range others {
		b.acceptors[slot].acceptor = holds(slot, m)
	}
	v, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	b.vault = v
	if err := (&Disk{Vault: v}).Save(holds(1, own)); err != nil {
		t.Fatal(err)
	}
	if b.Keeper, err = NewKeeper(l, &Disk{Vault: v}, Start{}); err != nil {
		t.Fatal(err)
	}
	b.Net, b.Log, b.Peers = transport.NewNet(l, transport.Greeting{Version: transport.Version, Node: "own"}, nil), slog.New(slog.DiscardHandler), b
	b.Settled = func(_ context.Context, w config.Word) { b.told <- w.Stamp }
	b.Confirmed = func(_ context.Context, at time.Time) { b.sure <- at }
	l.Go(ctx, "net", b.Net.Run)
	return b
}

// shut holds up what is written from now on.
func (b *harness) shut() *gate {
	g := &gate{open: make(chan struct{})}
	b.vault.Before = g.before
	return g
}

// run starts the keeper's clock.
func (b *harness) run() { b.Launcher.Go(b.ctx, "keeper", b.Run) }

// eventually waits until something holds.
func (b *harness) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-b.ctx.Done():
			t.Fatalf("waited in vain for: %s", what)
		}
	}
}

// receive takes, or fails the test when its time is over.
func receive[T any](t *testing.T, b *harness, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-b.ctx.Done():
		t.Fatal("waited in vain")
		panic("not reached")
	}
}

// onDisk is what a restart would find.
func (b *harness) onDisk(t *testing.T) Acceptor {
	t.Helper()
	v, err := (&Disk{Vault: b.vault}).Load(Start{})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// While the disk stalls no vote is given for what is not on it, and what only shows the
// acceptor is answered at once, from what is. Once the disk goes on, the votes come in the
// order of the ballots.
func TestVotesWaitForTheDisk(t *testing.T) {
	b := newHarness(t, Mark{1 << 17, 5}, nil)
	self := b.Acceptor().Self
	g := b.shut()
	epoch := uint64(2<<17 + 1)
	votes := make(chan *Vote, 3)
	word := func(stamp uint64) config.Word {
		w := b.Acceptor().Word
		w.Stamp = stamp
		return w
	}
	for _, ballot := range []Ballot{
		{From: self, Act: Prepare, Epoch: epoch},
		{From: self, Act: Propose, Epoch: epoch, Mark: Mark{epoch, 5}, Word: word(5)},
		{From: self, Act: Propose, Epoch: epoch, Mark: Mark{epoch, 6}, Word: word(6)},
	} {
		b.box.Send(b.ctx, msgBallot{ballot, votes})
	}
	for range 20 {
		v := b.vote(b.ctx, Ballot{From: self, Act: Look})
		if v == nil || v.Promised != 1<<17 || v.Mark.Stamp != 5 {
			t.Fatalf("shown while the disk stalls: %+v", v)
		}
	}
	if len(votes) > 0 {
		t.Fatalf("voted before it was on disk: %+v", <-votes)
	}
	close(g.open)
	for _, want := range []Mark{{1 << 17, 5}, {epoch, 5}, {epoch, 6}} {
		v := receive(t, b, votes)
		if v == nil || !v.OK || v.Mark != want {
			t.Errorf("vote %+v, not for %+v", v, want)
		}
		if d := b.onDisk(t); d.Promised != epoch || d.Mark.Compare(want) < 0 {
			t.Errorf("voted for %+v with promise %d and %+v on disk", want, d.Promised, d.Mark)
		}
	}
}

// A disk that takes no writes gives no votes, the core tells that it is unable, and
// that it is able again once the disk is well, though nobody asks it for a vote.
func TestFullDiskIsUnable(t *testing.T) {
	b := newHarness(t, Mark{1 << 17, 5}, map[int]Mark{2: {1 << 17, 5}})
	turned := make(chan bool, 16)
	b.Turned = func() { turned <- b.Able() }
	g := b.shut()
	g.failing.Store(true)
	close(g.open)
	self := b.Acceptor().Self
	if v := b.vote(b.ctx, Ballot{From: self, Act: Prepare, Epoch: 2<<17 + 1}); v != nil {
		t.Errorf("voted: %+v", v)
	}
	b.run()
	if receive(t, b, turned) {
		t.Error("able with a full disk")
	}
	g.failing.Store(false)
	if !receive(t, b, turned) {
		t.Error("unable with a disk that is well")
	}
}

// A settled word is passed on though the own disk does not take it.
func TestSettledThoughDiskStalls(t *testing.T) {
	b := newHarness(t, Mark{1 << 17, 5}, nil)
	b.shut()
	w := b.Acceptor().Word
	w.Stamp = 6
	b.box.Send(b.ctx, msgBallot{Ballot{From: From{Slot: 2, Inc: 1, ID: 2}, Act: Settle, Epoch: 1 << 17, Mark: Mark{1 << 17, 6}, Word: w}, make(chan *Vote, 1)})
	if got := receive(t, b, b.told); got != 6 {
		t.Errorf("told of %d", got)
	}
	if got := b.Acceptor().Mark.Stamp; got != 5 {
		t.Errorf("the acceptor shows %d, which is not on disk", got)
	}
}

// A word that a proposer left with one other core only, as a look shows, is finished by the
// core on duty, which has it not: else no core would ever be sure again.
func TestUnsettledElsewhere(t *testing.T) {
	b := newHarness(t, Mark{1 << 17, 5}, map[int]Mark{3: {1 << 17, 6}})
	self := b.Acceptor()
	if v := b.vote(b.ctx, Ballot{From: self.Self, Act: Settle, Epoch: self.Mark.Epoch, Mark: self.Mark, Word: self.Word}); v == nil || v.Settled != 5 {
		t.Fatalf("its own word is not settled: %+v", v)
	}
	b.onDuty.Store(true)
	b.run()
	b.eventually(t, "stamp 6 to be settled", func() bool { v := b.Acceptor(); return v.Mark.Stamp == 6 && v.Settled == 6 })
	for len(b.sure) > 0 {
		<-b.sure
	}
	receive(t, b, b.sure)
}

// A word that majorities hold and nobody says is settled, since its proposer stopped, is
// settled by a look, without the core on duty, and though the own disk stalls.
func TestSettledByLook(t *testing.T) {
	b := newHarness(t, Mark{1 << 17, 5}, map[int]Mark{2: {1 << 17, 6}, 3: {1 << 17, 6}})
	b.shut()
	b.run()
	if got := receive(t, b, b.told); got != 6 {
		t.Errorf("told of %d", got)
	}
	receive(t, b, b.sure)
}

// A core without contact to a majority takes no order, and says at once that it will
// not be; it raises no epoch meanwhile.
func TestNoOrderWithoutMajority(t *testing.T) {
	b := newHarness(t, Mark{1 << 17, 5}, nil)
	b.onDuty.Store(true)
	b.run()
	b.eventually(t, "the contact to be missed", func() bool { return !b.Connected() })
	promised := b.Acceptor().Promised
	for range 20 {
		if a := b.Write(b.ctx, Order{Kind: Empty, Zone: "north"}); a.Result != NotTaken {
			t.Fatalf("%+v", a)
		}
	}
	if v := b.Acceptor(); v.Promised != promised || v.Mark.Stamp != 5 {
		t.Errorf("it promised %d, then %d, and holds %+v", promised, v.Promised, v.Mark)
	}
}

// A core whose contact is old, as one that was frozen or late, asks for it before it
// takes an order, and takes it then.
func TestOrderRegainsContact(t *testing.T) {
	b := newHarness(t, Mark{1 << 17, 5}, map[int]Mark{2: {1 << 17, 5}})
	b.onDuty.Store(true)
	b.eventually(t, "the contact to be old", func() bool { return !b.Connected() }) // it looks at nobody yet
	b.run()
	if a := b.Write(b.ctx, Order{Kind: Empty, Zone: "north"}); a.Result != Taken {
		t.Errorf("%+v", a)
	}
}
