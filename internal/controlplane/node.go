// Package controlplane puts the parts of the control plane together. (DESIGN 1)
package controlplane

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"curlewwalk/internal/clock"
	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/process"
	"curlewwalk/internal/settings"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/transport"
	"curlewwalk/internal/watch"
)

// writeLimit is how long an order may take, wherever it is carried out.
const writeLimit = 5 * time.Second // (ours)

// passOnPause is how long an order that was not taken waits for the core that has the duty
// now to learn of it.
const passOnPause = 50 * time.Millisecond // (ours)

// Doors opens further addresses of a core, for those who speak otherwise. (DESIGN 18)
type Doors func(n *Node)

// Node is a core with its parts.
type Node struct {
	p         *process.Process
	set       settings.Core
	keeper    *consensus.Keeper
	directory *watch.Directory
	seeker    *membership.Seeker
	store     *tracestore.Store
	warden    *warden
	usher     *usher
	reload    *process.Reloader
	web       *process.Web
	draining  atomic.Bool
	joined    atomic.Bool // a member, when readiness was last asked for
	counters  counters
}

// New puts the parts together and opens the addresses.
func New(set settings.Core, doors Doors) *Node {
	p := process.New("controlplane", set.Common)
	n := &Node{p: p, set: set, store: tracestore.NewStore(), seeker: membership.NewSeeker(), directory: watch.NewDirectory(p.Launcher, p.Boot)}
	v, err := storage.Open(set.Data)
	if err != nil {
		p.Fail("data", err)
	}
	if n.keeper, err = consensus.NewKeeper(p.Launcher, &consensus.Disk{Vault: v}, start(set)); err != nil {
		p.Fail("data", err)
	}
	n.warden = &warden{n: n}
	n.keeper.Net, n.keeper.Log, n.keeper.Peers = p.Net, p.Log, n
	n.usher = newUsher(n)
	n.keeper.Settled = func(ctx context.Context, w config.Word) { n.directory.Settled(ctx, w) }
	n.keeper.Confirmed, n.keeper.Turned = n.confirmed, n.seeker.Hasten
	n.seeker.Own = func() membership.Heartbeat { return membership.Heartbeat{Seat: n.told()} }
	n.seeker.Addr, n.seeker.Net, n.seeker.Launcher, n.seeker.Heard = set.Advertise, p.Net, p.Launcher, n.heard
	n.seeker.Hear(membership.Heartbeat{Know: remembered(n.keeper.Acceptor())})
	n.reload = &process.Reloader{Seeker: n.seeker}
	n.reload.Apply(set.Common)

	p.Host.Handlers[membership.KindHeartbeat] = n.heartbeat
	p.Host.Handlers[watch.KindFollow] = n.directory.Answer
	maps.Copy(p.Host.Handlers, n.keeper.Handlers())
	p.Host.Handlers[consensus.KindSeat] = n.usher.asked
	p.Host.Handlers[tracestore.KindPublish] = n.store.Publish
	p.Host.Handlers[tracestore.KindTrace] = n.store.Trace
	p.Host.Listener = p.Listen("wire", set.Wire)
	n.web = p.Serve(p.Listen("control", set.Control), n.control())
	for name, run := range map[string]func(context.Context){
		"net": p.Net.Run, "host": p.Host.Run, "seeker": n.seeker.Run, "keeper": n.keeper.Run, "directory": n.directory.Run, "warden": n.warden.run, "usher": n.usher.run, "applicant": n.apply, "store": n.store.Run,
	} {
		p.Launcher.Go(p.Life, name, run)
	}
	if doors != nil {
		doors(n)
	}
	return n
}

// Run prints the signal of readiness and returns when the core has been warned and
// stopped in order; read reads the settings again.
func (n *Node) Run(read func() (settings.Core, settings.Exit)) {
	fmt.Fprintf(os.Stdout, "started wire=%s control=%s\n", n.p.Host.Addr(), n.web.Listener.Addr())
	n.p.Wait(func() {
		next, exit := read()
		n.reload.Reload(n.p, n.set, next, next.Common, exit)
	})
	n.stop()
}

// Process is the frame that the core hangs in.
func (n *Node) Process() *process.Process { return n.p }

// seat is what this core tells of itself.
func (n *Node) seat() membership.Seat {
	v := n.keeper.Acceptor()
	s := membership.Seat{
		Slot: v.Self.Slot, Addr: n.set.Advertise, Inc: v.Self.Inc, Boot: n.p.Boot,
		Zone: n.set.Zone, Established: v.Phase == consensus.Established, Settled: v.Settled, Wall: clock.Wall().UnixNano(),
	}
	sets := v.Sets()
	s.Set, s.Slots, s.Held = consensus.Slots(sets.Now), len(sets.Now), v.Mark.Stamp
	s.Unable = !n.keeper.Able()
	if v.Settled < v.Mark.Stamp {
		s.Before = consensus.Slots(sets.Before)
	}
	return s.Marked()
}

// told is the seat that this core tells of: none while it has none.
func (n *Node) told() *membership.Seat {
	s := n.seat()
	if s.Slot == 0 || !s.Established && !n.set.Static() {
		return nil
	}
	return &s
}

// remembered are the members that a disk tells of: they are heartbeated first, whatever
// the seeds are now.
func remembered(v consensus.Acceptor) (out []membership.Seat) {
	for _, m := range v.Sets().Union() {
		if m.Addr != "" && m.ID != v.Self.ID {
			out = append(out, membership.Seat{Slot: m.Slot, Addr: m.Addr})
		}
	}
	return out
}

// start is what the settings say of this core's seat.
func start(set settings.Core) consensus.Start {
	s := consensus.Start{First: set.First, Founders: set.Founders, Addr: set.Advertise}
	if set.Static() {
		s.Slot, s.Slots = set.Slot, set.Slots
	}
	return s
}

// heartbeat answers another process.
func (n *Node) heartbeat(ctx context.Context, in transport.Request) (any, string) {
	var h membership.Heartbeat
	if !in.Into(&h) {
		return nil, "not a heartbeat"
	}
	out, addr := n.seeker.Answer(h, n.told()), ""
	switch {
	case h.Node != nil:
		addr = h.Node.Addr
		out.Departed = n.directory.Told(ctx, *h.Node)
	case h.Pulse != nil:
		addr = h.Pulse.Addr
		out.Whole = !n.directory.Felt(ctx, *h.Pulse)
	}
	if addr != "" && (h.Sums || h.Digest == 0) { // an older version does not ask
		out.Budgets = n.directory.Budgets()
	}
	if inc, ok := n.directory.Accused(addr); ok {
		out.Accused = &inc
	}
	return out, ""
}

// heard copies what another core has and this one lacks. (DESIGN 6.4)
func (n *Node) heard(ctx context.Context, c membership.Seat) {
	v := n.keeper.Acceptor()
	if (v.Phase == consensus.Established || v.Phase == consensus.Seeking) && c.Settled > v.Settled {
		n.p.Launcher.Go(ctx, "catch", func(ctx context.Context) { n.keeper.Catch(ctx, c.Addr) })
	}
}

// Addr implements consensus.Peers.
func (n *Node) Addr(slot int) (string, bool) {
	c, ok := n.seeker.Seats().At(slot)
	return c.Addr, ok
}

// duty is the first live and able core in the agreed order.
func (n *Node) duty() membership.Seat {
	return n.seeker.Seats().Duty(n.seat(), n.slots(), time.Now())
}

// slots is the newest set of slots that this core knows of.
func (n *Node) slots() []int {
	v := n.keeper.Acceptor()
	if set, _, held := n.seeker.Seats().Set(); len(set) > 0 && (held > v.Mark.Stamp || len(v.Sets().Now) == 0) {
		return set
	}
	return consensus.Slots(v.Sets().Now)
}

// OnDuty implements consensus.Peers.
func (n *Node) OnDuty() bool { return n.duty().Addr == n.set.Advertise }

// write carries an order out on the core on duty. One that was surely not taken, since
// the duty has passed on meanwhile, goes to the core that has it now.
func (n *Node) write(ctx context.Context, o consensus.Order) consensus.Answer {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	for {
		c := n.duty()
		a := n.writeAt(ctx, c, o)
		if a.Result != consensus.NotTaken || n.duty().Addr == c.Addr {
			return a
		}
		select {
		case <-time.After(passOnPause):
		case <-ctx.Done():
			return a
		}
	}
}

// writeAt carries an order out on one core.
func (n *Node) writeAt(ctx context.Context, c membership.Seat, o consensus.Order) consensus.Answer {
	if c.Addr == n.set.Advertise {
		return n.lead(ctx, o)
	}
	var a consensus.Answer
	switch r := n.keeper.Forward(ctx, c.Addr, o); {
	case r.Into(&a):
		return a
	case r.Fate == transport.Unsent:
		return n.lead(ctx, o) // it is gone; the epoch settles who is right
	}
	return consensus.Answer{Result: consensus.Unknown}
}

// refresh makes sure that a majority holds the newest word.
func (n *Node) refresh(ctx context.Context) consensus.Answer {
	return n.write(ctx, consensus.Order{Kind: consensus.Refresh})
}

// stop ends the core in order.
func (n *Node) stop() {
	n.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.reload.Drain())
	defer cancel()
	n.leave(ctx)
	n.p.PartAll(ctx, linger, process.Farewell(http.Header{}, nil))
	n.p.End()
}
