package register

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"curlewwalk/desired"
	"curlewwalk/launch"
	"curlewwalk/vault"
	"curlewwalk/wire"
)

// member is one keeper on the wire, whose version may be an older one.
type member struct {
	*Keeper
	host *wire.Host
	dir  string
	end  context.CancelFunc
}

// trio is three keepers with disks of their own; the first is on duty.
type trio struct {
	t       *testing.T
	ctx     context.Context
	l       *launch.Launcher
	peers   addresses
	members map[int]*member
}

// one is peers as one member sees them.
type one struct {
	addresses
	duty bool
}

func (o one) OnDuty() bool { return o.duty }

func newTrio(t *testing.T) *trio {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	r := &trio{
		t: t, ctx: ctx, peers: addresses{}, members: map[int]*member{},
		l: launch.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) }),
	}
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
func (r *trio) start(slot int, dir string, old bool) *member {
	r.t.Helper()
	v, err := vault.Open(dir)
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
	own := wire.Greeting{Version: wire.Version, Node: r.peers[slot]}
	k.Net, k.Log, k.Peers = wire.NewNet(r.l, own, nil), slog.New(slog.DiscardHandler), one{r.peers, slot == 1}
	k.Settled, k.Confirmed = func(context.Context, desired.Word) {}, func(context.Context, time.Time) {}
	h := &wire.Host{Launcher: r.l, Own: own, Handlers: k.Handlers()}
	if old {
		delete(h.Handlers, KindPatchedBallot)
		delete(h.Handlers, KindPatchedOrder)
	}
	if h.Listener, err = net.Listen("tcp", r.peers[slot]); err != nil {
		r.t.Fatal(err)
	}
	m := &member{Keeper: k, host: h, dir: dir, end: end}
	for name, run := range map[string]func(context.Context){"host": h.Run, "net": k.Net.Run, "keeper": k.Run} {
		r.l.Go(ctx, name, run)
	}
	r.members[slot] = m
	return m
}

// restart ends a member and starts it on the same disk.
func (r *trio) restart(slot int, old bool) {
	r.t.Helper()
	m := r.members[slot]
	m.end()
	m.host.Listener.Close()
	r.start(slot, m.dir, old)
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

// forward brings an order to the member on duty, again if it got no answer, as an
// operator does: a circuit to a member that was restarted just now may end under it.
func (r *trio) forward(from int, o Order) wire.Receipt {
	for {
		got := r.members[from].Forward(r.ctx, r.peers[1], o)
		if got.Fate == wire.Answered || r.ctx.Err() != nil {
			return got
		}
	}
}

// put has a member bring an order to the one on duty, and all hold what came of it.
func (r *trio) put(from, number int) {
	r.t.Helper()
	o := Order{Kind: Put, Edition: uint64(number), Bytes: configuration(number, 60), Sent: configuration(number, 30)}
	var a Answer
	if from == 1 {
		a = r.members[1].Write(r.ctx, o)
	} else if got := r.forward(from, o); !got.Into(&a) {
		r.t.Fatalf("order %d: fate %v, fault %q", number, got.Fate, got.Fault)
	}
	if a.Result != Taken || a.Word.Stamp == 0 || a.Word.Edition != uint64(number) {
		r.t.Fatalf("order %d: %v, %+v", number, a.Result, a.Word)
	}
	for slot, m := range r.members {
		for m.Voter().Settled < a.Word.Stamp {
			select {
			case <-r.ctx.Done():
				r.t.Fatalf("slot %d has not stamp %d", slot, a.Word.Stamp)
			case <-time.After(time.Millisecond):
			}
		}
		if w := m.Voter().Word; string(w.Desired) != string(o.Bytes) || string(w.Sent) != string(o.Sent) || w.Stamp != a.Word.Stamp {
			r.t.Fatalf("slot %d holds something else at stamp %d", slot, w.Stamp)
		}
	}
}

// sent is how many bytes of ballots and orders the keepers have sent and been sent back.
func (r *trio) sent() (total uint64) {
	for _, m := range r.members {
		for kind, c := range m.Net.Counts.Read() {
			if kind != wire.KindPing {
				total += c.CallBytes + c.ReceiptBytes
			}
		}
	}
	return total
}

// A change of one route costs the cores a small part of its configuration, whoever it is
// brought to; the first after a restart costs it once.
func TestBytesOfAChange(t *testing.T) {
	r := newTrio(t)
	for slot := 1; slot <= 3; slot++ {
		r.start(slot, t.TempDir(), false)
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
	r.start(1, t.TempDir(), false)
	r.start(2, t.TempDir(), true)
	r.start(3, t.TempDir(), false)
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
