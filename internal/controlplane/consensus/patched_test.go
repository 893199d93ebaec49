package consensus

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/transport"
)

// member is one keeper on the wire, whose version may be an older one.
type member struct {
	*Keeper
	host *transport.Host
	end  context.CancelFunc
}

// trio is three keepers with disks of their own; the first is on duty.
type trio struct {
	t       *testing.T
	ctx     context.Context
	l       *actor.Launcher
	peers   addresses
	members map[int]*member
	dirs    [4]string // by slot
}

// one is peers as one member sees them.
type one struct {
	addresses
	duty bool
}

func (o one) OnDuty() bool { return o.duty }

func newTrio(t *testing.T) *trio {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	r := &trio{
		t: t, ctx: ctx, peers: addresses{}, members: map[int]*member{},
		l: actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) }),
	}
	for slot := 1; slot <= 3; slot++ {
		r.dirs[slot] = t.TempDir()
	}
	t.Cleanup(func() { // before the folders go
		cancel()
		<-r.l.Idle()
		r.l.Stop()
	})
	for slot := 1; slot <= 3; slot++ {
		r.peers[slot] = r.listen("127.0.0.1:0").Addr().String()
	}
	return r
}

// listen takes an address and leaves it free again.
func (r *trio) listen(addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		r.t.Fatal(err)
	}
	ln.Close()
	return ln
}

// start starts a member on its disk; old is one that knows no differences.
func (r *trio) start(slot int, old bool) {
	r.t.Helper()
	v, err := storage.Open(r.dirs[slot])
	if err != nil {
		r.t.Fatal(err)
	}
	var founders []string
	for s := 1; s <= 3; s++ {
		founders = append(founders, r.peers[s])
	}
	k, err := NewKeeper(r.l, &Disk{Vault: v}, Start{First: true, Founders: founders, Addr: r.peers[slot]})
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, end := context.WithCancel(r.ctx)
	own := transport.Greeting{Version: transport.Version, Node: r.peers[slot]}
	k.Net, k.Log, k.Peers = transport.NewNet(r.l, own, nil), slog.New(slog.DiscardHandler), one{r.peers, slot == 1}
	k.Settled, k.Confirmed = func(context.Context, config.Word) {}, func(context.Context, time.Time) {}
	h := &transport.Host{Launcher: r.l, Own: own, Handlers: k.Handlers()}
	if old {
		delete(h.Handlers, KindPatchedBallot)
		delete(h.Handlers, KindPatchedOrder)
	}
	if h.Listener, err = net.Listen("tcp", r.peers[slot]); err != nil {
		r.t.Fatal(err)
	}
	parts := map[string]func(context.Context){"host": h.Run, "net": k.Net.Run, "keeper": k.Run}
	for name, run := range parts {
		r.l.Go(ctx, name, run)
	}
	r.members[slot] = &member{Keeper: k, host: h, end: end}
}

// restart ends a member and starts it on the same disk.
func (r *trio) restart(slot int, old bool) {
	r.t.Helper()
	m := r.members[slot]
	m.end()
	m.host.Listener.Close()
	r.start(slot, old)
}

// configuration is one of so many routes, of which one depends on its number.
func configuration(number, routes int) []byte {
	var b strings.Builder
	for i := range routes {
		n := 0
		if i == number%routes {
			n = number
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","prefix":"/p%d/","service":"svc-%d","legs":%d},`, i, i%7, i*i, i%3, n)
	}
	return []byte(b.String())
}

// order has a member bring an order to the one on duty.
func (r *trio) order(from int, o Order) (a Answer) {
	if from == 1 {
		return r.members[1].Write(r.ctx, o)
	}
	if got := r.members[from].Forward(r.ctx, r.peers[1], o); !got.Into(&a) {
		a.Result = Unknown
		if got.Fate == transport.Answered {
			r.t.Fatalf("fault %q", got.Fault)
		}
	}
	return a
}

// put has a member bring an order to the one on duty, and all hold what came of it.
func (r *trio) put(from, number int) {
	r.t.Helper()
	o := Order{Kind: Put, Generation: uint64(number), Bytes: configuration(number, 60), Sent: configuration(number, 30)}
	a := r.order(from, o)
	// As an operator does, it is sent again under its number while no clear answer came:
	// a connection to a member that was just restarted may have been broken.
	for ; a.Result != Taken; a = r.order(from, o) {
		if r.ctx.Err() != nil {
			r.t.Fatalf("order %d was never taken: %v", number, a.Result)
		}
	}
	if a.Word.Stamp == 0 || a.Word.Generation != uint64(number) {
		r.t.Fatalf("order %d: %+v", number, a.Word)
	}
	for slot, m := range r.members {
		for m.Acceptor().Settled < a.Word.Stamp {
			select {
			case <-r.ctx.Done():
				r.t.Fatalf("slot %d has not stamp %d", slot, a.Word.Stamp)
			case <-time.After(time.Millisecond):
			}
		}
		if w := m.Acceptor().Word; string(w.Desired) != string(o.Bytes) || string(w.Sent) != string(o.Sent) || w.Stamp != a.Word.Stamp {
			r.t.Fatalf("slot %d holds something else at stamp %d", slot, w.Stamp)
		}
	}
}

// lookSize is what a look has at most, which comes by time and not by change.
const lookSize = 150

// sent is how many bytes of ballots and orders the keepers have sent, and been sent back
// where these were differences. Looks are left out.
func (r *trio) sent() (total uint64) {
	for _, m := range r.members {
		counts := m.Net.Counts.Read()
		for _, kind := range []string{KindPatchedBallot, KindPatchedOrder, KindOrder} {
			total += counts[kind].CallBytes + counts[kind].ResponseBytes
		}
		whole := counts[KindBallot]
		total += whole.CallBytes - min(whole.CallBytes, lookSize*whole.Calls)
	}
	return total
}

// A change of one route costs the cores a small part of its configuration, whoever it is
// brought to; the first after a restart costs it once.
func TestBytesOfAChange(t *testing.T) {
	r := newTrio(t)
	for slot := 1; slot <= 3; slot++ {
		r.start(slot, false)
	}
	whole := uint64(len(configuration(1, 60)) + len(configuration(1, 30)))
	for n := 1; n <= 5; n++ {
		r.put(1+n%3, n)
	}
	before, changes := r.sent(), 60
	for n := 6; n < 6+changes; n++ {
		r.put(1+n%3, n)
	}
	each := (r.sent() - before) / uint64(changes)
	t.Logf("%d bytes a change of a configuration of %d", each, whole)
	if each > whole/2 {
		t.Errorf("%d bytes a change of a configuration of %d", each, whole)
	}
}

// Members of an older version, which know no differences, are told the whole, also while
// versions mix and change from one restart to the next; nobody ever holds anything else
// than was put.
func TestMixedVersionsOfCores(t *testing.T) {
	r := newTrio(t)
	r.start(1, false)
	r.start(2, true)
	r.start(3, false)
	n := 0
	some := func() {
		for range 6 {
			n++
			r.put(1+n%3, n)
		}
	}
	some()
	for _, slot := range []int{2, 3, 1, 2} {
		for _, old := range []bool{true, false} {
			r.restart(slot, old)
			some()
		}
	}
}
