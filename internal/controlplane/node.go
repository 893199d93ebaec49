package controlplane

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"sync/atomic"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/process"
	"curlewwalk/internal/settings"
	"curlewwalk/internal/storage"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/watch"
)

// Adapter opens additional listeners of a started node, for clients that use a protocol other than
// /v1. (DESIGN 18)
type Adapter func(n *Node)

// Node is one replica of the control plane with all its components.
type Node struct {
	process     *process.Process
	cfg         settings.ControlPlane
	replica     *consensus.Replica
	discovery   *membership.Discovery
	cluster     *cluster
	commands    *commandRouter
	watchServer *watch.Server
	traces      *tracestore.Store

	reconfigurer  *reconfigurer
	joinRequester *joinRequester
	departures    *departureRecorder
	maintenance   *maintenanceScheduler

	reloader  *process.Reloader
	apiServer *process.HTTPServer
	// stopping is set when the process begins to stop.
	stopping atomic.Bool
	// wasMember records whether the replica counted as a member at the last readiness check.
	wasMember atomic.Bool
	counters  counters
}

// New starts a node: it loads the control state from disk, opens the listeners and starts all
// components. It ends the process if the data directory cannot be opened or an address cannot be
// bound. adapter may be nil.
func New(cfg settings.ControlPlane, adapter Adapter) *Node {
	p := process.New("controlplane", cfg.Common)
	n := &Node{
		process:     p,
		cfg:         cfg,
		watchServer: watch.NewServer(p.Actors, p.Incarnation),
		traces:      tracestore.NewStore(),
	}
	n.discovery = n.newDiscovery()
	n.cluster = &cluster{cfg: cfg, incarnation: p.Incarnation, discovery: n.discovery}
	n.replica = n.openReplica()
	n.cluster.replica = n.replica
	// The first heartbeats also go to the members that are stored on disk, because the configured
	// seeds may have changed.
	n.discovery.Receive(membership.Heartbeat{KnownReplicas: storedMembers(n.replica.Acceptor())})
	n.commands = &commandRouter{cluster: n.cluster, replica: n.replica, actors: p.Actors, executed: &n.counters.commands}
	n.reconfigurer = newReconfigurer(cfg, n.cluster, n.commands, p)
	n.joinRequester = &joinRequester{cluster: n.cluster, client: p.TransportClient, stopping: &n.stopping}
	n.departures = newDepartureRecorder(n.cluster, n.commands, p.Actors, p.Log)
	n.maintenance = &maintenanceScheduler{cluster: n.cluster, commands: n.commands, watchServer: n.watchServer, log: p.Log}
	n.reloader = &process.Reloader{Discovery: n.discovery}
	n.reloader.Apply(cfg.Common)

	n.registerHandlers()
	p.TransportServer.Listener = p.Listen("wire", cfg.Wire)
	n.apiServer = p.Serve(p.Listen("control", cfg.Control), n.apiHandler())
	n.startLoops()
	if adapter != nil {
		adapter(n)
	}
	return n
}

// openReplica loads the state of the replica from the data directory. It ends the process if that
// fails. The replica passes committed states and confirmed reads on to the watch server.
func (n *Node) openReplica() *consensus.Replica {
	directory, err := storage.Open(n.cfg.Data)
	if err != nil {
		n.process.Fatal("data", err)
	}
	replica, err := consensus.New(consensus.Config{
		Store:     directory,
		Bootstrap: bootstrapOptions(n.cfg),
	}, consensus.Deps{
		Actors:          n.process.Actors,
		Client:          n.process.TransportClient,
		Log:             n.process.Log,
		Peers:           n.cluster,
		OnCommit:        func(ctx context.Context, state config.ControlState) { n.watchServer.ObserveCommitted(ctx, state) },
		OnReadConfirmed: n.renewLeases,
		OnHealthChange:  n.discovery.HeartbeatNow,
	})
	if err != nil {
		n.process.Fatal("data", err)
	}
	return replica
}

// bootstrapOptions returns the settings for the bootstrap of the cluster and for the static member
// ID of this replica.
func bootstrapOptions(cfg settings.ControlPlane) consensus.Bootstrap {
	options := consensus.Bootstrap{NewCluster: cfg.First, InitialMembers: cfg.Founders, AdvertiseAddr: cfg.Advertise}
	if cfg.HasStaticMember() {
		options.MemberID, options.StaticSize = cfg.Slot, cfg.Slots
	}
	return options
}

// newDiscovery returns the discovery that announces this replica to the other processes.
func (n *Node) newDiscovery() *membership.Discovery {
	return membership.NewDiscovery(n.cfg.Advertise, membership.DiscoveryDeps{
		Client:    n.process.TransportClient,
		Actors:    n.process.Actors,
		Local:     func() membership.Heartbeat { return membership.Heartbeat{Replica: n.cluster.announcedStatus()} },
		OnReplica: n.catchUpFrom,
	})
}

// registerHandlers registers the handlers for requests from other processes.
func (n *Node) registerHandlers() {
	handlers := n.process.TransportServer.Handlers
	maps.Copy(handlers, n.replica.Handlers())
	handlers[membership.KindHeartbeat] = n.handleHeartbeat
	handlers[watch.KindWatch] = n.watchServer.HandleWatch
	handlers[consensus.KindJoin] = n.reconfigurer.handleJoin
	handlers[tracestore.KindPublish] = n.traces.HandlePublish
	handlers[tracestore.KindTrace] = n.traces.HandleQuery
}

// startLoops starts the loops that run until the process ends.
func (n *Node) startLoops() {
	for name, run := range map[string]func(context.Context){
		"transport-client": n.process.TransportClient.Run,
		"transport-server": n.process.TransportServer.Run,
		"discovery":        n.discovery.Run,
		"consensus":        n.replica.Run,
		"watch":            n.watchServer.Run,
		"maintenance":      n.maintenance.Run,
		"reconfigurer":     n.reconfigurer.Run,
		"departures":       n.departures.Run,
		"join-requester":   n.joinRequester.Run,
		"trace-store":      n.traces.Run,
	} {
		n.process.Actors.Go(n.process.Context, name, run)
	}
}

// Run prints the addresses that the node serves and blocks until the process has been asked to stop
// and has shut down gracefully. Each SIGHUP reloads the settings by read.
func (n *Node) Run(read func() (settings.ControlPlane, settings.Exit)) {
	fmt.Fprintf(os.Stdout, "started wire=%s control=%s\n", n.process.TransportServer.Addr(), n.apiServer.Listener.Addr())
	n.process.WaitForStop(func() {
		next, exit := read()
		n.reloader.Reload(n.process, n.cfg, next, next.Common, exit)
	})
	n.stop()
}

// Process returns the process that the node runs in.
func (n *Node) Process() *process.Process { return n.process }

// stop leaves the membership, waits for running requests within the time limit of the drain
// setting, and stops all components.
func (n *Node) stop() {
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.reloader.DrainTimeout())
	defer cancel()
	n.leaveMembership(ctx)
	n.process.ShutdownHTTP(ctx, closingGrace, process.ClosingResponse(http.Header{}, nil))
	n.process.Close()
}
