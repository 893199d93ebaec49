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
	keeper    *consensus.Replica
	directory *watch.Server
	seeker    *membership.Discovery
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
	n := &Node{p: p, set: set, store: tracestore.NewStore(), seeker: membership.NewDiscovery(), directory: watch.NewServer(p.Launcher, p.Boot)}
	v, err := storage.Open(set.Data)
	if err != nil {
		p.Fail("data", err)
	}
	if n.keeper, err = consensus.NewReplica(p.Launcher, &consensus.StateStore{Store: v}, start(set)); err != nil {
		p.Fail("data", err)
	}
	n.warden = &warden{n: n}
	n.keeper.Client, n.keeper.Log, n.keeper.Peers = p.Net, p.Log, n
	n.usher = newUsher(n)
	n.keeper.OnCommit = func(ctx context.Context, state config.ControlState) { n.directory.ObserveCommitted(ctx, state) }
	n.keeper.OnReadConfirmed, n.keeper.OnHealthChange = n.confirmed, n.seeker.HeartbeatNow
	n.seeker.Local = func() membership.Heartbeat { return membership.Heartbeat{Replica: n.told()} }
	n.seeker.Addr, n.seeker.Client, n.seeker.Actors, n.seeker.OnReplica = set.Advertise, p.Net, p.Launcher, n.heard
	n.seeker.Receive(membership.Heartbeat{KnownReplicas: remembered(n.keeper.Acceptor())})
	n.reload = &process.Reloader{Seeker: n.seeker}
	n.reload.Apply(set.Common)

	p.Host.Handlers[membership.KindHeartbeat] = n.heartbeat
	p.Host.Handlers[watch.KindWatch] = n.directory.HandleWatch
	maps.Copy(p.Host.Handlers, n.keeper.Handlers())
	p.Host.Handlers[consensus.KindJoin] = n.usher.asked
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
func (n *Node) seat() membership.Replica {
	v := n.keeper.Acceptor()
	s := membership.Replica{
		MemberID: v.Self.MemberID, Addr: n.set.Advertise, MemberIncarnation: v.Self.Incarnation, Incarnation: n.p.Boot,
		Zone: n.set.Zone, Established: v.Phase == consensus.PhaseEstablished, CommittedRevision: v.Committed, WallClock: clock.Wall().UnixNano(),
	}
	sets := v.MemberSets()
	s.Members, s.MemberCount, s.AcceptedRevision = consensus.MemberIDs(sets.Current), len(sets.Current), v.Position.Revision
	s.Ineligible = !n.keeper.Healthy()
	if v.Committed < v.Position.Revision {
		s.PreviousMembers = consensus.MemberIDs(sets.Previous)
	}
	return s.WithDigest()
}

// told is the seat that this core tells of: none while it has none.
func (n *Node) told() *membership.Replica {
	s := n.seat()
	if s.MemberID == 0 || !s.Established && !n.set.Static() {
		return nil
	}
	return &s
}

// remembered are the members that a disk tells of: they are heartbeated first, whatever
// the seeds are now.
func remembered(v consensus.Acceptor) (out []membership.Replica) {
	for _, m := range v.MemberSets().Union() {
		if m.Addr != "" && m.DiskID != v.Self.DiskID {
			out = append(out, membership.Replica{MemberID: m.MemberID, Addr: m.Addr})
		}
	}
	return out
}

// start is what the settings say of this core's seat.
func start(set settings.Core) consensus.Bootstrap {
	s := consensus.Bootstrap{NewCluster: set.First, InitialMembers: set.Founders, AdvertiseAddr: set.Advertise}
	if set.Static() {
		s.MemberID, s.StaticSize = set.Slot, set.Slots
	}
	return s
}

// heartbeat answers another process.
func (n *Node) heartbeat(ctx context.Context, in transport.Request) (any, string) {
	var h membership.Heartbeat
	if !in.Into(&h) {
		return nil, "not a heartbeat"
	}
	out, addr := n.seeker.Respond(h, n.told()), ""
	switch {
	case h.Node != nil:
		addr = h.Node.Addr
		out.Departed = n.directory.ObserveNode(ctx, *h.Node)
	case h.NodeStatus != nil:
		addr = h.NodeStatus.Addr
		out.RequestFull = !n.directory.ObserveStatus(ctx, *h.NodeStatus)
	}
	if addr != "" && (h.WantBudgets || h.TableDigest == 0) { // an older version does not ask
		out.Budgets = n.directory.Budgets()
	}
	if inc, ok := n.directory.Suspected(addr); ok {
		out.Suspected = &inc
	}
	return out, ""
}

// heard copies what another core has and this one lacks. (DESIGN 6.4)
func (n *Node) heard(ctx context.Context, c membership.Replica) {
	v := n.keeper.Acceptor()
	if (v.Phase == consensus.PhaseEstablished || v.Phase == consensus.PhaseJoining) && c.CommittedRevision > v.Committed {
		n.p.Launcher.Go(ctx, "catch", func(ctx context.Context) { n.keeper.CatchUp(ctx, c.Addr) })
	}
}

// Addr implements consensus.Peers.
func (n *Node) Addr(slot int) (string, bool) {
	c, ok := n.seeker.Replicas().Member(slot)
	return c.Addr, ok
}

// duty is the first live and able core in the agreed order.
func (n *Node) duty() membership.Replica {
	return n.seeker.Replicas().Coordinator(n.seat(), n.slots(), time.Now())
}

// slots is the newest set of slots that this core knows of.
func (n *Node) slots() []int {
	v := n.keeper.Acceptor()
	if set, _, held := n.seeker.Replicas().Members(); len(set) > 0 && (held > v.Position.Revision || len(v.MemberSets().Current) == 0) {
		return set
	}
	return consensus.MemberIDs(v.MemberSets().Current)
}

// IsCoordinator implements consensus.Peers.
func (n *Node) IsCoordinator() bool { return n.duty().Addr == n.set.Advertise }

// write carries an order out on the core on duty. One that was surely not taken, since
// the duty has passed on meanwhile, goes to the core that has it now.
func (n *Node) write(ctx context.Context, o consensus.Command) consensus.CommandResult {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	for {
		c := n.duty()
		a := n.writeAt(ctx, c, o)
		if a.Outcome != consensus.OutcomeRejected || n.duty().Addr == c.Addr {
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
func (n *Node) writeAt(ctx context.Context, c membership.Replica, o consensus.Command) consensus.CommandResult {
	if c.Addr == n.set.Advertise {
		return n.lead(ctx, o)
	}
	var a consensus.CommandResult
	switch r := n.keeper.Forward(ctx, c.Addr, o); {
	case r.Into(&a):
		return a
	case r.Fate == transport.Unsent:
		return n.lead(ctx, o) // it is gone; the epoch settles who is right
	}
	return consensus.CommandResult{Outcome: consensus.OutcomeUnknown}
}

// refresh makes sure that a majority holds the newest word.
func (n *Node) refresh(ctx context.Context) consensus.CommandResult {
	return n.write(ctx, consensus.Command{Kind: consensus.CommandRefresh})
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
