package dataplane

import (
	"context"
	"maps"
	"net/netip"
	"runtime/debug"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/dataplane/causality"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/process"
	"curlewwalk/internal/settings"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/transport"
	"curlewwalk/internal/watch"
)

// New puts the parts together and opens the addresses.
func New(set settings.Sidecar, doors *Doors) *Node {
	p := process.New("sidecar", set.Common)
	n := &Node{p: p, set: set, queue: trace.NewQueue(set.Advertise, p.Incarnation, set.TraceQueue), dialect: proxy.DefaultDialect{}}
	if doors != nil {
		n.dialect = doors.Dialect
	}
	if set.Memory > 0 {
		debug.SetMemoryLimit(set.Memory << 20 * 85 / 100)
	}
	n.addControl()
	calls := causality.NewTracker()
	claims := idempotency.NewStore(func(r proxy.Response) int { return len(r.Body) })
	n.addNear(calls, claims)
	n.addFar(calls)
	rollcall := n.newRollcall()
	n.addHandlers(rollcall)
	n.listen()
	n.start(map[string]func(context.Context){
		"lineage": calls.Run, "claims": claims.Run, "rollcall": rollcall.Run, "follower": n.newFollower().Run,
		"net": p.TransportClient.Run, "host": p.TransportServer.Run, "steward": n.steward.run, "seeker": n.seeker.Run,
		"watcher": n.steward.watcher.Run, "holder": n.holder.Run, "custody": n.near.KeyReplication.Run,
	})
	if doors != nil {
		doors.Open(n)
	}
	return n
}

// table and view are the snapshots that traffic reads.
func (n *Node) table() *routing.Table  { return n.steward.table.Load() }
func (n *Node) view() *membership.View { return n.steward.view.Load() }

// addControl adds the parts that know of other processes.
func (n *Node) addControl() {
	set, p := n.set, n.p
	n.seeker = membership.NewDiscovery()
	n.steward = newSteward(p.Actors, set.Advertise, p.Incarnation, set.Zone, set.ExtraAttempts, n.seeker.HeartbeatNow)
	n.steward.roster.Store(&endpoints.Registry{Heartbeats: endpoints.HeartbeatPolicy{Interval: set.Beat}, Started: time.Now()})
	n.steward.departures.notice = p.Notice
	n.steward.climb = routing.SlowStart{Duration: set.Ramp, InitialShare: set.RampFrom}
	n.seeker.Local = func() membership.Heartbeat { node := n.steward.node(); return membership.Heartbeat{Node: &node} }
	n.seeker.Addr, n.seeker.Client, n.seeker.Actors = set.Advertise, p.TransportClient, p.Actors
	n.seeker.OnResponse = n.steward.told
	n.seeker.OnReplica = func(context.Context, membership.Replica) {}
	n.reload = &process.Reloader{Discovery: n.seeker}
	n.reload.Apply(set.Common)
	watcher := n.steward.watcher
	watcher.Addr, watcher.Client, watcher.Actors, watcher.OnChange = set.Advertise, p.TransportClient, p.Actors, n.seeker.HeartbeatNow
	watcher.View = n.view
}

// addNear adds the side beside the callers, with what it keeps of keys.
func (n *Node) addNear(calls *causality.Tracker, claims *idempotency.Store[proxy.Response]) {
	set, p := n.set, n.p
	n.near = &proxy.Outbound{
		Zone: set.Zone, Table: n.table, View: n.view, Transport: p.TransportClient, Launcher: p.Actors, Spans: n.queue, Log: p.Log,
		Causality: calls, Reservations: claims, RetryBudgets: n.steward.retryBudgets, Budgets: n.steward.budgets, Latencies: routing.NewLatencyTable(),
		Draining: n.shut, ShutdownTime: n.stopsAt, ConfigurationUnconfirmed: n.unsure, ConfigurationOutdated: n.behind,
		LocalService: set.Caller, Dialect: n.dialect, EjectionTime: set.Shun, WaitShare: set.Hold, MinRetryAfter: set.ComeBack, AcceptLate: set.Late, CrossZoneCost: set.Crossing,
		Bodies: &proxy.BodyLimiter{MaxBody: set.MaxBody, MaxTotal: set.BodyMemory},
	}
	n.near.Lifetime, n.giveUp = context.WithCancelCause(p.Context)
	n.holder = keyreplication.NewReplicaServer()
	n.near.KeyReplication = &keyreplication.Owner{
		Addr: set.Advertise, Incarnation: p.Incarnation, Zone: set.Zone, View: n.view, Client: p.TransportClient, Actors: p.Actors,
		ViewReady: n.known, Restore: n.near.RestoreKey,
	}
	n.near.KeyReplication.Init()
	n.outgoing = &outgoing{
		p: p, near: n.near, host: netip.MustParseAddrPort(set.Advertise).Addr(), fixed: set.Outgoing,
		known: n.steward.services, webs: map[string]*process.HTTPServer{},
	}
}

// addFar adds the side beside the own backends.
func (n *Node) addFar(calls *causality.Tracker) {
	n.far = proxy.NewInbound(n.p.Context, n.p.Actors)
	n.far.Incarnation, n.far.Table, n.far.Spans, n.far.Causality, n.far.Draining = n.p.Incarnation, n.table, n.queue, calls, n.draining.Load
	n.far.LeaseHeld, n.far.Dialect, n.far.HalfCapacityTime = n.claimed, n.dialect, n.set.Halving
	n.far.Bodies = &proxy.BodyLimiter{MaxBody: n.set.MaxBody, MaxTotal: n.set.BodyMemory}
	n.far.Endpoints = func() endpoints.Registry { return *n.steward.roster.Load() }
}

// newRollcall makes the part that asks the other sidecars when no core is heard.
func (n *Node) newRollcall() *membership.Gossiper {
	rollcall := membership.NewGossiper()
	rollcall.Addr, rollcall.Client, rollcall.Actors, rollcall.Node, rollcall.View = n.set.Advertise, n.p.TransportClient, n.p.Actors, n.steward.node, n.view
	rollcall.Replicas, rollcall.State, rollcall.Seeds = n.seeker.Replicas, n.steward.spoken.Load, n.seeker.Seeds
	rollcall.UpdateAge, rollcall.OnConfirmed = n.steward.news, n.steward.agreed.Renew
	rollcall.OnUpdate = func(ctx context.Context, f membership.GossipUpdate) {
		n.seeker.Receive(membership.Heartbeat{KnownReplicas: f.KnownReplicas})
		n.steward.box.Send(ctx, msgFound{f})
	}
	return rollcall
}

// newFollower makes the part that follows a core's feed.
func (n *Node) newFollower() *watch.Watcher {
	return &watch.Watcher{
		Addr: n.set.Advertise, Zone: n.set.Zone, Replicas: n.seeker.Replicas, Client: n.p.TransportClient, HeartbeatNow: n.seeker.HeartbeatNow,
		OnUpdates: func(ctx context.Context, c membership.Replica, news watch.Updates, asked time.Time) {
			// No more is asked for before it is in force: of words that come faster
			// than that, the core then tells the newest only. (DESIGN 8.2)
			actor.Ask(ctx, n.steward.box, func(r chan<- bool) any { return msgNews{c, news, asked, r} })
		},
	}
}

// addHandlers adds what other processes may ask.
func (n *Node) addHandlers(rollcall *membership.Gossiper) {
	handlers := n.p.TransportServer.Handlers
	maps.Copy(handlers, n.holder.Handlers())
	handlers[membership.KindHeartbeat] = n.heartbeat
	handlers[membership.KindProbe] = func(context.Context, transport.Request) (any, string) {
		return membership.Probe{Incarnation: n.p.Incarnation, Refutation: n.steward.inc.Load()}, ""
	}
	handlers[membership.KindGossip] = rollcall.HandleGossip
	handlers[proxy.KindAttempt] = n.far.HandleAttempt
	handlers[proxy.KindCancel] = n.far.HandleCancel
}

// listen opens the addresses.
func (n *Node) listen() {
	set, p := n.set, n.p
	p.TransportServer.Listener = p.Listen("wire", set.Wire)
	n.webs = append(n.webs, p.Serve(p.Listen("control", set.Control), n.control()))
	n.webs = append(n.webs, p.Serve(p.Listen("inquiries", set.Requests), n.near.Handler("")))
	for service := range set.Outgoing {
		if _, err := n.outgoing.addr(service); err != nil {
			p.Fatal("outgoing "+service, err)
		}
	}
}

// start starts the parts' loops, and what publishes trace events.
func (n *Node) start(loops map[string]func(context.Context)) {
	for name, run := range loops {
		n.p.Actors.Go(n.p.Context, name, run)
	}
	for range workers {
		w := &trace.Publisher{Queue: n.queue, CollectorFor: n.collector, Send: n.publish, FlushInterval: publishEvery, MaxBatch: 256}
		n.p.Actors.Go(n.p.Context, "trace-worker", w.Run)
	}
}
