package dataplane

import (
	"context"
	"maps"
	"net/netip"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
	"curlewwalk/internal/watch"
)

// newAgent returns the agent, which owns the control state.
func (s *Sidecar) newAgent() *agent {
	return newAgent(agentConfig{
		Addr:              s.settings.Advertise,
		Incarnation:       s.process.Incarnation,
		Zone:              s.settings.Zone,
		HeartbeatInterval: s.settings.Beat,
		SlowStart:         routing.SlowStart{Duration: s.settings.Ramp, InitialShare: s.settings.RampFrom},
	}, agentDeps{
		Actors:         s.process.Actors,
		RetryBudgets:   s.retryBudgets,
		LatencyBudgets: s.latencyBudgets,
		Suspects:       s.prober.Suspects,
		HeartbeatNow:   s.discovery.HeartbeatNow,
		Notice:         s.process.Notice,
	})
}

// newDiscovery returns the component that exchanges heartbeats with the control plane
// replicas.
func (s *Sidecar) newDiscovery() *membership.Discovery {
	return membership.NewDiscovery(s.settings.Advertise, membership.DiscoveryDeps{
		Client: s.process.TransportClient,
		Actors: s.process.Actors,
		Local:  s.localHeartbeat,
		OnResponse: func(ctx context.Context, response membership.Heartbeat) {
			s.agent.handleHeartbeatResponse(ctx, response)
		},
	})
}

// newProber returns the component that probes the sidecars monitored by this one.
func (s *Sidecar) newProber() *membership.Prober {
	return membership.NewProber(s.settings.Advertise, membership.ProberDeps{
		Client:   s.process.TransportClient,
		Actors:   s.process.Actors,
		View:     s.membershipView,
		OnChange: s.discovery.HeartbeatNow,
	})
}

// newGossiper returns the component that queries other sidecars while no control plane
// replica responds. (DESIGN 7.4)
func (s *Sidecar) newGossiper() *membership.Gossiper {
	return membership.NewGossiper(s.settings.Advertise, membership.GossiperDeps{
		Client:      s.process.TransportClient,
		Actors:      s.process.Actors,
		Node:        s.agent.node,
		View:        s.membershipView,
		Replicas:    s.discovery.Replicas,
		State:       s.agent.controlState.Load,
		Seeds:       s.discovery.Seeds,
		UpdateAge:   s.agent.updateAge,
		OnUpdate:    s.handleGossip,
		OnConfirmed: s.agent.peerLease.Renew,
	})
}

// handleGossip passes the result of a gossip round to discovery and to the agent.
func (s *Sidecar) handleGossip(ctx context.Context, update membership.GossipUpdate) {
	s.discovery.Receive(membership.Heartbeat{KnownReplicas: update.KnownReplicas})
	s.agent.mailbox.Send(ctx, msgGossip{update})
}

// newWatcher returns the component that watches a control plane replica for updates.
func (s *Sidecar) newWatcher() *watch.Watcher {
	return watch.NewWatcher(watch.WatcherConfig{
		Addr: s.settings.Advertise,
		Zone: s.settings.Zone,
	}, watch.WatcherDeps{
		Client:       s.process.TransportClient,
		Replicas:     s.discovery.Replicas,
		HeartbeatNow: s.discovery.HeartbeatNow,
		OnUpdates:    s.agent.handleUpdates,
	})
}

// newOutbound returns the client side of the proxy.
func (s *Sidecar) newOutbound() *proxy.Outbound {
	var lifetime context.Context
	lifetime, s.abandonRequests = context.WithCancelCause(s.process.Context)
	return proxy.NewOutbound(proxy.OutboundConfig{
		Zone:          s.settings.Zone,
		LocalService:  s.settings.Caller,
		EjectionTime:  s.settings.Shun,
		WaitShare:     s.settings.Hold,
		MinRetryAfter: s.settings.ComeBack,
		AcceptLate:    s.settings.Late,
		CrossZoneCost: s.settings.Crossing,
	}, proxy.OutboundDeps{
		Table:          s.routingTable,
		View:           s.membershipView,
		Transport:      s.process.TransportClient,
		Actors:         s.process.Actors,
		Spans:          s.traceQueue,
		Log:            s.process.Log,
		Causality:      s.causality,
		Reservations:   s.reservations,
		Bodies:         s.newBodyLimiter(),
		RetryBudgets:   s.retryBudgets,
		LatencyBudgets: s.latencyBudgets,
		Latencies:      routing.NewLatencyTable(),
		Dialect:        s.dialect,
		Lifetime:       lifetime,

		RefusesClients:           s.refusesClients,
		ShutdownTime:             s.shutdownTime,
		ConfigurationUnconfirmed: s.configurationUnconfirmed,
		ConfigurationOutdated:    s.configurationOutdated,
	})
}

// newKeyOwner returns the component that replicates this sidecar's idempotency keys to other
// sidecars.
func (s *Sidecar) newKeyOwner() *keyreplication.Owner {
	return keyreplication.NewOwner(keyreplication.OwnerConfig{
		Addr:        s.settings.Advertise,
		Incarnation: s.process.Incarnation,
		Zone:        s.settings.Zone,
	}, keyreplication.OwnerDeps{
		View:      s.membershipView,
		ViewReady: s.agent.configured,
		Client:    s.process.TransportClient,
		Actors:    s.process.Actors,
		Restore:   s.outbound.RestoreKey,
	})
}

// newInbound returns the server side of the proxy, which runs attempts on own backends.
func (s *Sidecar) newInbound() *proxy.Inbound {
	return proxy.NewInbound(s.process.Context, proxy.InboundConfig{
		Incarnation:      s.process.Incarnation,
		HalfCapacityTime: s.settings.Halving,
	}, proxy.InboundDeps{
		Actors:    s.process.Actors,
		Endpoints: func() endpoints.Registry { return *s.agent.registry.Load() },
		Table:     s.routingTable,
		Spans:     s.traceQueue,
		Causality: s.causality,
		LeaseHeld: s.leaseValid,
		Draining:  s.draining.Load,
		Bodies:    s.newBodyLimiter(),
		Dialect:   s.dialect,
	})
}

// newBodyLimiter returns a limiter of the memory that one side of the proxy uses for bodies.
func (s *Sidecar) newBodyLimiter() *proxy.BodyLimiter {
	return &proxy.BodyLimiter{MaxBody: s.settings.MaxBody, MaxTotal: s.settings.BodyMemory}
}

// newEgressListeners returns the listeners for outgoing calls of own backends.
func (s *Sidecar) newEgressListeners() *egressListeners {
	return newEgressListeners(egressConfig{
		Host:  netip.MustParseAddrPort(s.settings.Advertise).Addr(),
		Fixed: s.settings.Outgoing,
	}, egressDeps{
		Services: s.agent.services,
		Serve:    s.process.Serve,
		Handler:  s.outbound.Handler,
	})
}

// registerHandlers registers the handlers of calls from other processes.
func (s *Sidecar) registerHandlers() {
	handlers := s.process.TransportServer.Handlers
	maps.Copy(handlers, s.replicaServer.Handlers())
	handlers[membership.KindHeartbeat] = s.handleHeartbeat
	handlers[membership.KindProbe] = s.handleProbe
	handlers[membership.KindGossip] = s.gossiper.HandleGossip
	handlers[proxy.KindAttempt] = s.inbound.HandleAttempt
	handlers[proxy.KindCancel] = s.inbound.HandleCancel
}

// handleHeartbeat answers a heartbeat of another process.
func (s *Sidecar) handleHeartbeat(_ context.Context, request transport.Request) (any, error) {
	var heartbeat membership.Heartbeat
	if !request.Decode(&heartbeat) {
		return nil, membership.ErrNotHeartbeat
	}
	return s.discovery.Respond(heartbeat, nil), nil
}

// handleProbe answers a health check of another sidecar.
func (s *Sidecar) handleProbe(context.Context, transport.Request) (any, error) {
	return membership.Probe{Incarnation: s.process.Incarnation, Refutation: s.agent.refutation.Load()}, nil
}

// localHeartbeat returns the heartbeat that this sidecar sends.
func (s *Sidecar) localHeartbeat() membership.Heartbeat {
	node := s.agent.node()
	return membership.Heartbeat{Node: &node}
}

// listen opens the listeners, or ends the process if one cannot be opened. The names passed
// to Listen are those of the settings.
func (s *Sidecar) listen() {
	p := s.process
	p.TransportServer.Listener = p.Listen("wire", s.settings.Wire)
	s.apiServer = p.Serve(p.Listen("control", s.settings.Control), s.apiHandler())
	s.requestServer = p.Serve(p.Listen("inquiries", s.settings.Requests), s.outbound.Handler(""))
	for service := range s.settings.Outgoing {
		if _, err := s.egress.addr(service); err != nil {
			p.Fatal("outgoing "+service, err)
		}
	}
}

// start starts the loops of all components. The loops end with the process's context.
func (s *Sidecar) start() {
	s.run("causality", s.causality.Run)
	s.run("idempotency", s.reservations.Run)
	s.run("gossiper", s.gossiper.Run)
	s.run("watcher", s.watcher.Run)
	s.run("transport-client", s.process.TransportClient.Run)
	s.run("transport-server", s.process.TransportServer.Run)
	s.run("agent", s.agent.Run)
	s.run("discovery", s.discovery.Run)
	s.run("prober", s.prober.Run)
	s.run("replica-server", s.replicaServer.Run)
	s.run("key-replication", s.outbound.KeyReplication.Run)
	for range tracePublishers {
		s.run("trace-publisher", s.newTracePublisher().Run)
	}
}

func (s *Sidecar) run(name string, loop func(ctx context.Context)) {
	s.process.Actors.Go(s.process.Context, name, loop)
}

// routingTable returns the routing table in force.
func (s *Sidecar) routingTable() *routing.Table { return s.agent.table.Load() }

// membershipView returns the newest view of all sidecars.
func (s *Sidecar) membershipView() *membership.View { return s.agent.view.Load() }
