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

// commandTimeout is how long an order may take, wherever it is carried out.
const commandTimeout = 5 * time.Second // (ours)

// redirectDelay is how long an order that was not taken waits for the core that has the duty
// now to learn of it.
const redirectDelay = 50 * time.Millisecond // (ours)

// Adapter opens further addresses of a core, for those who speak otherwise. (DESIGN 18)
type Adapter func(n *Node)

// Node is a core with its parts.
type Node struct {
	process      *process.Process
	cfg          settings.ControlPlane
	replica      *consensus.Replica
	directory    *watch.Server
	discovery    *membership.Discovery
	traces       *tracestore.Store
	maintenance  *maintenanceScheduler
	reconfigurer *reconfigurer
	reloader     *process.Reloader
	apiServer    *process.HTTPServer
	draining     atomic.Bool
	joined       atomic.Bool // a member, when readiness was last asked for
	counters     counters
}

// New puts the parts together and opens the addresses.
func New(cfg settings.ControlPlane, adapter Adapter) *Node {
	p := process.New("controlplane", cfg.Common)
	n := &Node{process: p, cfg: cfg, traces: tracestore.NewStore(), discovery: membership.NewDiscovery(), directory: watch.NewServer(p.Actors, p.Incarnation)}
	v, err := storage.Open(cfg.Data)
	if err != nil {
		p.Fatal("data", err)
	}
	if n.replica, err = consensus.NewReplica(p.Actors, &consensus.StateStore{Store: v}, memberOptions(cfg)); err != nil {
		p.Fatal("data", err)
	}
	n.maintenance = &maintenanceScheduler{node: n}
	n.replica.Client, n.replica.Log, n.replica.Peers = p.TransportClient, p.Log, n
	n.reconfigurer = newReconfigurer(n)
	n.replica.OnCommit = func(ctx context.Context, state config.ControlState) { n.directory.ObserveCommitted(ctx, state) }
	n.replica.OnReadConfirmed, n.replica.OnHealthChange = n.renewLeases, n.discovery.HeartbeatNow
	n.discovery.Local = func() membership.Heartbeat { return membership.Heartbeat{Replica: n.announcedStatus()} }
	n.discovery.Addr, n.discovery.Client, n.discovery.Actors, n.discovery.OnReplica = cfg.Advertise, p.TransportClient, p.Actors, n.catchUpFrom
	n.discovery.Receive(membership.Heartbeat{KnownReplicas: storedMembers(n.replica.Acceptor())})
	n.reloader = &process.Reloader{Discovery: n.discovery}
	n.reloader.Apply(cfg.Common)

	p.TransportServer.Handlers[membership.KindHeartbeat] = n.handleHeartbeat
	p.TransportServer.Handlers[watch.KindWatch] = n.directory.HandleWatch
	maps.Copy(p.TransportServer.Handlers, n.replica.Handlers())
	p.TransportServer.Handlers[consensus.KindJoin] = n.reconfigurer.handleJoin
	p.TransportServer.Handlers[tracestore.KindPublish] = n.traces.HandlePublish
	p.TransportServer.Handlers[tracestore.KindTrace] = n.traces.HandleQuery
	p.TransportServer.Listener = p.Listen("wire", cfg.Wire)
	n.apiServer = p.Serve(p.Listen("control", cfg.Control), n.apiHandler())
	for name, run := range map[string]func(context.Context){
		"net": p.TransportClient.Run, "host": p.TransportServer.Run, "seeker": n.discovery.Run, "keeper": n.replica.Run, "directory": n.directory.Run, "warden": n.maintenance.run, "usher": n.reconfigurer.run, "applicant": n.runJoinRequests, "store": n.traces.Run,
	} {
		p.Actors.Go(p.Context, name, run)
	}
	if adapter != nil {
		adapter(n)
	}
	return n
}

// Run prints the signal of readiness and returns when the core has been warned and
// stopped in order; read reads the settings again.
func (n *Node) Run(read func() (settings.ControlPlane, settings.Exit)) {
	fmt.Fprintf(os.Stdout, "started wire=%s control=%s\n", n.process.TransportServer.Addr(), n.apiServer.Listener.Addr())
	n.process.WaitForStop(func() {
		next, exit := read()
		n.reloader.Reload(n.process, n.cfg, next, next.Common, exit)
	})
	n.stop()
}

// Process is the frame that the core hangs in.
func (n *Node) Process() *process.Process { return n.process }

// replicaStatus is what this core tells of itself.
func (n *Node) replicaStatus() membership.Replica {
	acceptor := n.replica.Acceptor()
	s := membership.Replica{
		MemberID: acceptor.Self.MemberID, Addr: n.cfg.Advertise, MemberIncarnation: acceptor.Self.Incarnation, Incarnation: n.process.Incarnation,
		Zone: n.cfg.Zone, Established: acceptor.Phase == consensus.PhaseEstablished, CommittedRevision: acceptor.Committed, WallClock: clock.Wall().UnixNano(),
	}
	sets := acceptor.MemberSets()
	s.Members, s.MemberCount, s.AcceptedRevision = consensus.MemberIDs(sets.Current), len(sets.Current), acceptor.Position.Revision
	s.Ineligible = !n.replica.Healthy()
	if acceptor.Committed < acceptor.Position.Revision {
		s.PreviousMembers = consensus.MemberIDs(sets.Previous)
	}
	return s.WithDigest()
}

// announcedStatus is the seat that this core tells of: none while it has none.
func (n *Node) announcedStatus() *membership.Replica {
	s := n.replicaStatus()
	if s.MemberID == 0 || !s.Established && !n.cfg.HasStaticMember() {
		return nil
	}
	return &s
}

// storedMembers are the members that a disk tells of: they are heartbeated first, whatever
// the seeds are now.
func storedMembers(acceptor consensus.Acceptor) (out []membership.Replica) {
	for _, m := range acceptor.MemberSets().Union() {
		if m.Addr != "" && m.DiskID != acceptor.Self.DiskID {
			out = append(out, membership.Replica{MemberID: m.MemberID, Addr: m.Addr})
		}
	}
	return out
}

// memberOptions is what the settings say of this core's seat.
func memberOptions(cfg settings.ControlPlane) consensus.Bootstrap {
	s := consensus.Bootstrap{NewCluster: cfg.First, InitialMembers: cfg.Founders, AdvertiseAddr: cfg.Advertise}
	if cfg.HasStaticMember() {
		s.MemberID, s.StaticSize = cfg.Slot, cfg.Slots
	}
	return s
}

// handleHeartbeat answers another process.
func (n *Node) handleHeartbeat(ctx context.Context, request transport.Request) (any, string) {
	var h membership.Heartbeat
	if !request.Decode(&h) {
		return nil, "not a heartbeat"
	}
	out, addr := n.discovery.Respond(h, n.announcedStatus()), ""
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

// catchUpFrom copies what another core has and this one lacks. (DESIGN 6.4)
func (n *Node) catchUpFrom(ctx context.Context, c membership.Replica) {
	acceptor := n.replica.Acceptor()
	if (acceptor.Phase == consensus.PhaseEstablished || acceptor.Phase == consensus.PhaseJoining) && c.CommittedRevision > acceptor.Committed {
		n.process.Actors.Go(ctx, "catch", func(ctx context.Context) { n.replica.CatchUp(ctx, c.Addr) })
	}
}

// Addr implements consensus.Peers.
func (n *Node) Addr(slot int) (string, bool) {
	c, ok := n.discovery.Replicas().Member(slot)
	return c.Addr, ok
}

// coordinator is the first live and able core in the agreed order.
func (n *Node) coordinator() membership.Replica {
	return n.discovery.Replicas().Coordinator(n.replicaStatus(), n.members(), time.Now())
}

// members is the newest set of slots that this core knows of.
func (n *Node) members() []int {
	acceptor := n.replica.Acceptor()
	if set, _, held := n.discovery.Replicas().Members(); len(set) > 0 && (held > acceptor.Position.Revision || len(acceptor.MemberSets().Current) == 0) {
		return set
	}
	return consensus.MemberIDs(acceptor.MemberSets().Current)
}

// IsCoordinator implements consensus.Peers.
func (n *Node) IsCoordinator() bool { return n.coordinator().Addr == n.cfg.Advertise }

// submit carries an order out on the core on duty. One that was surely not taken, since
// the duty has passed on meanwhile, goes to the core that has it now.
func (n *Node) submit(ctx context.Context, command consensus.Command) consensus.CommandResult {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		c := n.coordinator()
		result := n.submitTo(ctx, c, command)
		if result.Outcome != consensus.OutcomeRejected || n.coordinator().Addr == c.Addr {
			return result
		}
		select {
		case <-time.After(redirectDelay):
		case <-ctx.Done():
			return result
		}
	}
}

// submitTo carries an order out on one core.
func (n *Node) submitTo(ctx context.Context, c membership.Replica, command consensus.Command) consensus.CommandResult {
	if c.Addr == n.cfg.Advertise {
		return n.execute(ctx, command)
	}
	var result consensus.CommandResult
	switch r := n.replica.Forward(ctx, c.Addr, command); {
	case r.Decode(&result):
		return result
	case r.Delivery == transport.NotDelivered:
		return n.execute(ctx, command) // it is gone; the epoch settles who is right
	}
	return consensus.CommandResult{Outcome: consensus.OutcomeUnknown}
}

// confirmCommitted makes sure that a majority holds the newest word.
func (n *Node) confirmCommitted(ctx context.Context) consensus.CommandResult {
	return n.submit(ctx, consensus.Command{Kind: consensus.CommandRefresh})
}

// stop ends the core in order.
func (n *Node) stop() {
	n.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.reloader.Drain())
	defer cancel()
	n.leaveMembership(ctx)
	n.process.ShutdownHTTP(ctx, closingGrace, process.ClosingResponse(http.Header{}, nil))
	n.process.Close()
}
