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
func New(set settings.Sidecar, adapter *Adapter) *Sidecar {
	process := process.New("sidecar", set.Common)
	s := &Sidecar{process: process, settings: set, traceQueue: trace.NewQueue(set.Advertise, process.Incarnation, set.TraceQueue), dialect: proxy.DefaultDialect{}}
	if adapter != nil {
		s.dialect = adapter.Dialect
	}
	if set.Memory > 0 {
		debug.SetMemoryLimit(set.Memory << 20 * 85 / 100)
	}
	s.addMembership()
	tracker := causality.NewTracker()
	reservations := idempotency.NewStore(func(r proxy.Response) int { return len(r.Body) })
	s.addOutbound(tracker, reservations)
	s.addInbound(tracker)
	rollcall := s.newMembershipQuery()
	s.registerHandlers(rollcall)
	s.listen()
	s.start(map[string]func(context.Context){
		"lineage": tracker.Run, "claims": reservations.Run, "rollcall": rollcall.Run, "follower": s.newConfigurationWatcher().Run,
		"net": process.TransportClient.Run, "host": process.TransportServer.Run, "steward": s.agent.run, "seeker": s.discovery.Run,
		"watcher": s.agent.watcher.Run, "holder": s.replicaServer.Run, "custody": s.outbound.KeyReplication.Run,
	})
	if adapter != nil {
		adapter.Open(s)
	}
	return s
}

// routingTable and view are the snapshots that traffic reads.
func (s *Sidecar) routingTable() *routing.Table     { return s.agent.table.Load() }
func (s *Sidecar) membershipView() *membership.View { return s.agent.view.Load() }

// addMembership adds the parts that know of other processes.
func (s *Sidecar) addMembership() {
	set, p := s.settings, s.process
	s.discovery = membership.NewDiscovery()
	s.agent = newAgent(p.Actors, set.Advertise, p.Incarnation, set.Zone, set.ExtraAttempts, s.discovery.HeartbeatNow)
	s.agent.registry.Store(&endpoints.Registry{Heartbeats: endpoints.HeartbeatPolicy{Interval: set.Beat}, Started: time.Now()})
	s.agent.departureLog.notice = p.Notice
	s.agent.slowStart = routing.SlowStart{Duration: set.Ramp, InitialShare: set.RampFrom}
	s.discovery.Local = func() membership.Heartbeat { node := s.agent.node(); return membership.Heartbeat{Node: &node} }
	s.discovery.Addr, s.discovery.Client, s.discovery.Actors = set.Advertise, p.TransportClient, p.Actors
	s.discovery.OnResponse = s.agent.handleHeartbeatResponse
	s.discovery.OnReplica = func(context.Context, membership.Replica) {}
	s.reloader = &process.Reloader{Discovery: s.discovery}
	s.reloader.Apply(set.Common)
	watcher := s.agent.watcher
	watcher.Addr, watcher.Client, watcher.Actors, watcher.OnChange = set.Advertise, p.TransportClient, p.Actors, s.discovery.HeartbeatNow
	watcher.View = s.membershipView
}

// addOutbound adds the side beside the callers, with what it keeps of keys.
func (s *Sidecar) addOutbound(calls *causality.Tracker, claims *idempotency.Store[proxy.Response]) {
	set, p := s.settings, s.process
	var lifetime context.Context
	lifetime, s.abandonRequests = context.WithCancelCause(p.Context)
	s.outbound = proxy.NewOutbound(proxy.OutboundConfig{
		Zone: set.Zone, LocalService: set.Caller, EjectionTime: set.Shun, WaitShare: set.Hold,
		MinRetryAfter: set.ComeBack, AcceptLate: set.Late, CrossZoneCost: set.Crossing,
	}, proxy.OutboundDeps{
		Table: s.routingTable, View: s.membershipView, Transport: p.TransportClient, Actors: p.Actors, Spans: s.traceQueue, Log: p.Log,
		Causality: calls, Reservations: claims, RetryBudgets: s.agent.retryBudgets, Budgets: s.agent.budgets, Latencies: routing.NewLatencyTable(),
		Bodies: &proxy.BodyLimiter{MaxBody: set.MaxBody, MaxTotal: set.BodyMemory}, Dialect: s.dialect, Lifetime: lifetime,
		Draining: s.refusesClients, ShutdownTime: s.shutdownTime, ConfigurationUnconfirmed: s.configurationUnconfirmed, ConfigurationOutdated: s.configurationOutdated,
	})
	s.replicaServer = keyreplication.NewReplicaServer()
	s.outbound.KeyReplication = &keyreplication.Owner{
		Addr: set.Advertise, Incarnation: p.Incarnation, Zone: set.Zone, View: s.membershipView, Client: p.TransportClient, Actors: p.Actors,
		ViewReady: s.configured, Restore: s.outbound.RestoreKey,
	}
	s.outbound.KeyReplication.Init()
	s.egress = &egressListeners{
		process: p, outbound: s.outbound, host: netip.MustParseAddrPort(set.Advertise).Addr(), fixed: set.Outgoing,
		services: s.agent.services, servers: map[string]*process.HTTPServer{},
	}
}

// addInbound adds the side beside the own backends.
func (s *Sidecar) addInbound(calls *causality.Tracker) {
	s.inbound = proxy.NewInbound(s.process.Context, proxy.InboundConfig{
		Incarnation: s.process.Incarnation, HalfCapacityTime: s.settings.Halving,
	}, proxy.InboundDeps{
		Actors: s.process.Actors, Endpoints: func() endpoints.Registry { return *s.agent.registry.Load() }, Table: s.routingTable,
		Spans: s.traceQueue, Causality: calls, LeaseHeld: s.leaseValid, Draining: s.draining.Load, Dialect: s.dialect,
		Bodies: &proxy.BodyLimiter{MaxBody: s.settings.MaxBody, MaxTotal: s.settings.BodyMemory},
	})
}

// newMembershipQuery makes the part that asks the other sidecars when no core is heard.
func (s *Sidecar) newMembershipQuery() *membership.Gossiper {
	rollcall := membership.NewGossiper()
	rollcall.Addr, rollcall.Client, rollcall.Actors, rollcall.Node, rollcall.View = s.settings.Advertise, s.process.TransportClient, s.process.Actors, s.agent.node, s.membershipView
	rollcall.Replicas, rollcall.State, rollcall.Seeds = s.discovery.Replicas, s.agent.controlState.Load, s.discovery.Seeds
	rollcall.UpdateAge, rollcall.OnConfirmed = s.agent.updateAge, s.agent.peerLease.Renew
	rollcall.OnUpdate = func(ctx context.Context, f membership.GossipUpdate) {
		s.discovery.Receive(membership.Heartbeat{KnownReplicas: f.KnownReplicas})
		s.agent.mailbox.Send(ctx, msgQueryResult{f})
	}
	return rollcall
}

// newConfigurationWatcher makes the part that follows a core's feed.
func (s *Sidecar) newConfigurationWatcher() *watch.Watcher {
	return &watch.Watcher{
		Addr: s.settings.Advertise, Zone: s.settings.Zone, Replicas: s.discovery.Replicas, Client: s.process.TransportClient, HeartbeatNow: s.discovery.HeartbeatNow,
		OnUpdates: func(ctx context.Context, replica membership.Replica, update watch.Updates, requestedAt time.Time) {
			// No more is asked for before it is in force: of words that come faster
			// than that, the core then tells the newest only. (DESIGN 8.2)
			actor.Ask(ctx, s.agent.mailbox, func(r chan<- bool) any { return msgUpdate{replica, update, requestedAt, r} })
		},
	}
}

// registerHandlers adds what other processes may ask.
func (s *Sidecar) registerHandlers(rollcall *membership.Gossiper) {
	handlers := s.process.TransportServer.Handlers
	maps.Copy(handlers, s.replicaServer.Handlers())
	handlers[membership.KindHeartbeat] = s.handleHeartbeat
	handlers[membership.KindProbe] = func(context.Context, transport.Request) (any, string) {
		return membership.Probe{Incarnation: s.process.Incarnation, Refutation: s.agent.refutation.Load()}, ""
	}
	handlers[membership.KindGossip] = rollcall.HandleGossip
	handlers[proxy.KindAttempt] = s.inbound.HandleAttempt
	handlers[proxy.KindCancel] = s.inbound.HandleCancel
}

// listen opens the addresses.
func (s *Sidecar) listen() {
	set, p := s.settings, s.process
	p.TransportServer.Listener = p.Listen("wire", set.Wire)
	s.httpServers = append(s.httpServers, p.Serve(p.Listen("control", set.Control), s.apiHandler()))
	s.httpServers = append(s.httpServers, p.Serve(p.Listen("inquiries", set.Requests), s.outbound.Handler("")))
	for service := range set.Outgoing {
		if _, err := s.egress.addr(service); err != nil {
			p.Fatal("outgoing "+service, err)
		}
	}
}

// start starts the parts' loops, and what publishes trace events.
func (s *Sidecar) start(loops map[string]func(context.Context)) {
	for name, run := range loops {
		s.process.Actors.Go(s.process.Context, name, run)
	}
	for range traceWorkers {
		worker := &trace.Publisher{Queue: s.traceQueue, CollectorFor: s.chooseCollector, Send: s.publishTraces, FlushInterval: publishInterval, MaxBatch: 256}
		s.process.Actors.Go(s.process.Context, "trace-worker", worker.Run)
	}
}
