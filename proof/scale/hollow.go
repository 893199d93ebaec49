package scale

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"curlewwalk/contract"
	"curlewwalk/custody"
	"curlewwalk/desired"
	"curlewwalk/feed"
	"curlewwalk/membership"
	"curlewwalk/proof/fault"
	"curlewwalk/rendezvous"
	"curlewwalk/roster"
	"curlewwalk/wire"
)

// hollow is a sidecar that carries no traffic: the production parts that speak the
// control protocol, put together as sidecar.Node has them. It differs from a real one
// in what nobody else sees: it makes no ways of the word and no view for choosing
// backends, nodes of a shoal share equal values, and who watches whom is ranked once
// for all of a shoal.
type hollow struct {
	addr, zone string
	boot       uint64
	shoal      *shoal
	announce   roster.Announcement

	net      *wire.Net
	host     *wire.Host
	seeker   *membership.Seeker
	budgets  *contract.Budgets
	watcher  *membership.Watcher
	roster   atomic.Pointer[roster.Roster]
	inc      atomic.Uint64
	stamp    atomic.Uint64
	followed atomic.Pointer[time.Time]
	word     atomic.Pointer[desired.Word]
	claim    roster.Claim
	agreed   roster.Claim
	end      context.CancelFunc

	mu   sync.Mutex   // the copy is looked at by several loops
	size atomic.Int64 // of the copy
	copy *feed.Copy
	view *membership.View // of the copy, if it has not changed since
}

// newHollow opens a hollow node's address.
func newHollow(s *shoal, addr, zone, service string) (*hollow, error) {
	ln, err := fault.Bind(addr)
	if err != nil {
		return nil, err
	}
	ip := netip.MustParseAddrPort(addr).Addr()
	h := &hollow{addr: addr, zone: zone, boot: rand.Uint64(), shoal: s, copy: feed.NewCopy(), budgets: contract.NewBudgets(), watcher: membership.NewWatcher(), seeker: membership.NewSeeker()}
	h.announce = roster.Announcement{Instance: service + "-" + ip.String(), Service: service, Address: netip.AddrPortFrom(ip, 8000).String(), Zone: zone, Capacity: 9}
	h.roster.Store(&roster.Roster{})
	h.followed.Store(&time.Time{})
	own := wire.Greeting{Version: wire.Version, Node: addr, Boot: h.boot}
	h.net = wire.NewNet(s.launcher, own, net.IP(ip.AsSlice()))
	h.host = &wire.Host{Own: own, Launcher: s.launcher, Listener: ln, Handlers: map[string]wire.Handler{
		membership.KindHeartbeat: h.heartbeat,
		membership.KindProbe: func(context.Context, wire.Request) (any, string) {
			return membership.Probe{Boot: h.boot, Inc: h.inc.Load()}, ""
		},
	}}
	h.seeker.Addr, h.seeker.Net, h.seeker.Launcher = addr, h.net, s.launcher
	h.seeker.SetSeeds(s.opt.Seeds)
	h.seeker.Own = func() membership.Heartbeat { n := h.node(); return membership.Heartbeat{Node: &n} }
	h.seeker.Heard = func(context.Context, membership.Seat) {}
	h.seeker.Told = h.told
	h.watcher.Own, h.watcher.Net, h.watcher.Launcher, h.watcher.Changed = addr, h.net, s.launcher, h.seeker.Hasten
	h.watcher.View = h.watched
	return h, nil
}

// run starts the parts; they end with ctx or kill.
func (h *hollow) run(ctx context.Context) {
	ctx, h.end = context.WithCancel(ctx)
	h.beat(time.Now())
	follower := &feed.Follower{Own: h.addr, Zone: h.zone, Seats: h.seeker.Seats, Net: h.net, Hasten: h.seeker.Hasten, Take: h.take}
	roll := membership.NewRollcall()
	roll.Own, roll.Net, roll.Launcher, roll.Node, roll.View = h.addr, h.net, h.shoal.launcher, h.node, h.whole
	roll.Seats, roll.Word, roll.Seeds = h.seeker.Seats, h.word.Load, h.seeker.Seeds
	roll.News, roll.Sure, roll.Take = h.news, h.agreed.Renew, h.found
	h.host.Handlers[membership.KindGossip] = roll.Answer
	holder := custody.NewHolder()
	maps.Copy(h.host.Handlers, holder.Handlers())
	parts := map[string]func(context.Context){
		"net": h.net.Run, "host": h.host.Run, "seeker": h.seeker.Run, "follower": follower.Run,
		"watcher": h.watcher.Run, "rollcall": roll.Run, "holder": holder.Run, "steward": h.steward,
	}
	if h.shoal.opt.Handover {
		owner := &custody.Owner{
			Own: h.addr, Boot: h.boot, Zone: h.zone, View: h.whole, Net: h.net, Launcher: h.shoal.launcher,
			Known: func() bool { return h.stamp.Load() > 0 }, Restore: func(context.Context, custody.Entry) {},
		}
		owner.Begin()
		parts["custody"] = owner.Run
	}
	for name, run := range parts {
		h.shoal.launcher.Go(ctx, name, run)
	}
}

// kill ends the node at once: its address refuses, its connections break.
func (h *hollow) kill() {
	h.host.Listener.Close()
	h.end()
}

// node is what the node tells of itself.
func (h *hollow) node() membership.Node {
	r := h.roster.Load()
	return membership.Node{
		Addr: h.addr, Boot: h.boot, Rev: r.Rev, Zone: h.zone, Stamp: h.stamp.Load(), Backends: r.Backends(), Inc: h.inc.Load(), Open: r.Open(),
		Accuses: h.watcher.Accused(), Budgets: h.budgets.Own(),
	}
}

// steward keeps the roster: the backend's announcements come from here too.
func (h *hollow) steward(ctx context.Context) {
	tick := time.NewTicker(membership.Beat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			h.beat(now)
		}
	}
}

func (h *hollow) beat(now time.Time) {
	old := h.roster.Load()
	next, faults := old.Announce(h.announce, h.zone, now)
	if len(faults) > 0 {
		panic(fmt.Sprint("announcement: ", faults)) // the shoal made it
	}
	next = next.Tick(now)
	h.roster.Store(&next)
	if next.Rev != old.Rev {
		h.met(func() {})
		h.seeker.Hasten()
	}
}

// met changes the copy; of itself a node knows best.
func (h *hollow) met(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	h.copy.Nodes[h.addr] = h.node()
	h.size.Store(int64(len(h.copy.Nodes)))
	h.view = nil
}

// told takes a core's response to a heartbeat. An accusation is refuted at once.
func (h *hollow) told(_ context.Context, _, in membership.Heartbeat) {
	if in.Budgets != nil {
		h.budgets.Hear(in.Budgets)
	}
	for own := h.inc.Load(); in.Accused != nil && *in.Accused >= own; own = h.inc.Load() {
		if h.inc.CompareAndSwap(own, *in.Accused+1) {
			h.seeker.Hasten()
		}
	}
}

// take takes news of the feed.
func (h *hollow) take(_ context.Context, _ membership.Seat, n feed.News, asked time.Time) {
	now := time.Now()
	for i := range n.Items {
		if it := &n.Items[i]; it.Node != nil {
			it.Node = h.shoal.equal(it.Node)
		}
	}
	var word *desired.Word
	if len(n.Items) > 0 || n.Snapshot {
		h.met(func() { word, _ = h.copy.Take(n) })
	}
	h.followed.Store(&now)
	h.claim.Renew(asked.Add(-n.Age))
	h.force(word)
	for _, it := range n.Items {
		switch {
		case it.Node != nil:
			h.shoal.reached.note("come "+it.Node.Addr, h.addr)
		case it.Gone != "":
			h.shoal.reached.note("gone "+it.Gone, h.addr)
		}
	}
}

// force puts a word in force.
func (h *hollow) force(word *desired.Word) {
	if word == nil {
		return
	}
	h.stamp.Store(word.Stamp)
	h.word.Store(word)
	h.shoal.reached.note(fmt.Sprint("stamp ", word.Stamp), h.addr)
	h.seeker.Hasten()
}

func (h *hollow) news(now time.Time) time.Duration { return now.Sub(*h.followed.Load()) }

// found takes what other sidecars have, while no core tells.
func (h *hollow) found(_ context.Context, f membership.Found) {
	h.seeker.Hear(membership.Heartbeat{Know: f.Know})
	for i := range f.Nodes {
		f.Nodes[i] = *h.shoal.equal(&f.Nodes[i])
	}
	var word *desired.Word
	h.met(func() {
		if f.Word != nil && h.copy.Newer(*f.Word) {
			word = f.Word
		}
		if h.news(time.Now()) >= membership.Silence {
			h.copy.Meet(f.Nodes, f.Dead)
		}
	})
	h.force(word)
}

// heartbeat answers another process.
func (h *hollow) heartbeat(_ context.Context, in wire.Request) (any, string) {
	var q membership.Heartbeat
	if !in.Into(&q) {
		return nil, "not a heartbeat"
	}
	return h.seeker.Answer(q, nil), ""
}

// whole is the view of all that the node knows, made only when it is asked for.
func (h *hollow) whole() *membership.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.view == nil {
		h.view = membership.NewView(h.copy.Nodes, nil)
	}
	return h.view
}

// watched is the view of itself and of those that it watches. Among these few it
// watches just the same ones as among all: a node that is among the first to watch
// another is so too when there are fewer to choose from.
func (h *hollow) watched() *membership.View {
	few := map[string]membership.Node{}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, addr := range append(h.shoal.watchedBy(h.addr), h.addr) {
		if n, ok := h.copy.Nodes[addr]; ok {
			few[addr] = n
		}
	}
	return membership.NewView(few, nil)
}

func (h *hollow) known() int { return int(h.size.Load()) }

// watches tells whom each node watches: what membership.WatchersOf says of each, the other
// way round, without sorting all for the sake of the first three.
func watches(addrs []string) map[string][]string {
	out := map[string][]string{}
	type scored struct {
		addr  string
		score uint64
	}
	for _, addr := range addrs {
		var first []scored
		for _, w := range addrs {
			if w == addr {
				continue
			}
			at := scored{w, rendezvous.Score(addr, w)}
			i := len(first)
			for i > 0 && (at.score > first[i-1].score || at.score == first[i-1].score && w < first[i-1].addr) {
				i--
			}
			if i < membership.Watchers {
				first = slices.Insert(first, i, at)
				first = first[:min(len(first), membership.Watchers)]
			}
		}
		for _, w := range first {
			out[w.addr] = append(out[w.addr], addr)
		}
	}
	return out
}
