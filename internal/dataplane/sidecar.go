// Package dataplane puts the parts of the data plane together. (DESIGN 1)
package dataplane

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/process"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/settings"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/transport"
)

// farewellTimeout is how long a drained sidecar takes at most to say farewell on its clients'
// connections. (ours)
const farewellTimeout = 2 * time.Second

// configurationTrustedFor is how old a claim may be for a sidecar to say of itself that there is no way
// for a request: words are to be in force within it.
const configurationTrustedFor = 2 * time.Second // (ours)

const (
	// traceWorkers is how many drain the trace queue. (ours)
	traceWorkers = 2
	// publishInterval is how long events wait for others to be published with. (ours)
	publishInterval = 300 * time.Millisecond
)

// Adapter are how others than the project's own speak to a sidecar. (DESIGN 18)
type Adapter struct {
	// Dialect words what callers and backends say.
	Dialect proxy.Dialect
	// Open opens further addresses.
	Open func(s *Sidecar)
}

// Sidecar is a sidecar with its parts.
type Sidecar struct {
	process       *process.Process
	settings      settings.Sidecar
	agent         *agent
	discovery     *membership.Discovery
	outbound      *proxy.Outbound
	inbound       *proxy.Inbound
	replicaServer *keyreplication.ReplicaServer
	traceQueue    *trace.Queue
	egress        *egressListeners
	dialect       proxy.Dialect
	// draining: not ready, and no new attempts. closed: no new requests either.
	draining, closed atomic.Bool
	// abandonAt is when what is open will be answered, of a node that is being stopped; nil
	// before. giveUp does so.
	abandonAt       atomic.Pointer[time.Time]
	abandonRequests context.CancelCauseFunc
	reloader        *process.Reloader
	httpServers     []*process.HTTPServer
}

// Run prints the signal of readiness, the addresses that really stand, and returns when
// the sidecar has been warned and stopped in order; read reads the settings again.
func (s *Sidecar) Run(read func() (settings.Sidecar, settings.Exit)) {
	fmt.Fprintf(os.Stdout, "started wire=%s control=%s inquiries=%s\n", s.process.TransportServer.Addr(), s.httpServers[0].Listener.Addr(), s.httpServers[1].Listener.Addr())
	s.process.WaitForStop(func() {
		next, exit := read()
		s.reloader.Reload(s.process, s.settings, next, next.Common, exit)
	})
	s.shutdown()
}

// Process is the frame that the sidecar hangs in.
func (s *Sidecar) Process() *process.Process { return s.process }

// leaseValid tells whether this sidecar may admit: its claim is young, or so many
// cores are dead that no newer word can be acknowledged, and most sidecars agree
// that there is none. (DESIGN 7.2, 7.4)
func (s *Sidecar) leaseValid() bool {
	now := time.Now()
	return s.agent.lease.Age(now) <= endpoints.LeaseDuration || s.agent.peerLease.Age(now) <= endpoints.LeaseDuration && s.discovery.Replicas().QuorumLost(now)
}

// configurationUnconfirmed tells whether a newer word may have been in force elsewhere for so long that
// this sidecar's saying that there is no such way would be wrong. (DESIGN 7.2)
func (s *Sidecar) configurationUnconfirmed() bool {
	now := time.Now()
	return s.agent.lease.Age(now) > configurationTrustedFor && (s.agent.peerLease.Age(now) > endpoints.LeaseDuration || !s.discovery.Replicas().QuorumLost(now))
}

// configurationOutdated tells whether this sidecar must not choose routes by what it knows: a live core
// tells that a newer word is settled, and no core has been sure towards this sidecar for so
// long that the newer one is to be in force by now. One that hears no core at all goes on;
// who admits is bound by its own claim. (DESIGN 7.2)
func (s *Sidecar) configurationOutdated() bool {
	now := time.Now()
	return s.agent.lease.Age(now) > configurationTrustedFor && s.discovery.Replicas().CommittedPast(s.agent.table.Load().Revision, now)
}

// refusesClients tells whether clients' requests are refused. The calls of an own backend belong
// to requests that were handed over: where they can't be told from clients', all that
// surely end before the stop does are taken while it runs one. (DESIGN 11.3)
func (s *Sidecar) refusesClients() bool {
	return s.closed.Load() && (s.settings.Caller == "" || s.inbound.Counters.InFlight.Load() == 0)
}

// shutdownTime tells until when what is still taken must have ended, once clients are refused.
func (s *Sidecar) shutdownTime() (end time.Time, stopping bool) {
	at := s.abandonAt.Load()
	if at == nil || !s.closed.Load() {
		return time.Time{}, false
	}
	return *at, true
}

// handleHeartbeat answers another process.
func (s *Sidecar) handleHeartbeat(_ context.Context, request transport.Request) (any, string) {
	var heartbeat membership.Heartbeat
	if !request.Decode(&heartbeat) {
		return nil, "not a heartbeat"
	}
	return s.discovery.Respond(heartbeat, nil), ""
}

// chooseCollector is the first live core by rendezvous of the trace id, of those of the own
// zone if there are any. (DESIGN 2.6)
func (s *Sidecar) chooseCollector(id trace.TraceID) (string, bool) {
	live := s.discovery.Replicas().Live(time.Now())
	own := slices.DeleteFunc(slices.Clone(live), func(replica membership.Replica) bool { return replica.Zone != s.settings.Zone })
	if len(own) > 0 {
		live = own
	}
	live = rendezvous.Rank(id.String(), live, func(replica membership.Replica) string { return fmt.Sprint(replica.MemberID) })
	if len(live) == 0 {
		return "", false
	}
	return live[0].Addr, true
}

func (s *Sidecar) publishTraces(ctx context.Context, collector string, batch []trace.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var accepted tracestore.PublishReply
	return s.process.TransportClient.Call(ctx, collector, transport.ControlTraffic, tracestore.KindPublish, tracestore.Batch{Events: slices.Clone(batch)}).Decode(&accepted)
}
