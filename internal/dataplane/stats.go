package dataplane

import (
	"time"

	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/trace"
)

// backendView is an own backend as an operator reads it.
type backendView struct {
	membership.Backend
	// Age is the time since its last announcement.
	Age string `json:"age"`
	// Open is how many requests it runs, Limit how many it may run at a time now.
	Open  int64 `json:"open"`
	Limit int64 `json:"limit"`
	// Outgoing is where it sends its own calls.
	Outgoing string `json:"outgoing"`
}

// backendViews lists the own backends.
func (s *Sidecar) backendViews() []backendView {
	now := time.Now()
	views := []backendView{}
	for _, endpoint := range s.agent.registry.Load().Endpoints() {
		outgoing, _ := s.egress.addr(endpoint.Service) // it stays empty
		views = append(views, backendView{
			Backend:  endpoint.Backend,
			Age:      now.Sub(endpoint.LastHeartbeat).String(),
			Open:     endpoint.Admission.Outstanding(),
			Limit:    s.inbound.ConcurrencyLimit(endpoint, now),
			Outgoing: outgoing,
		})
	}
	return views
}

// sidecarStats is what GET /v1/stats shows.
type sidecarStats struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"boot"`
	Zone        string `json:"locality"`
	// Revision is that of the routing table.
	Revision uint64      `json:"stamp"`
	Watch    watchStatus `json:"follows"`
	// UpdateAge is the time since the control plane's last update, LeaseAge since the
	// moment as of which the lease was renewed.
	UpdateAge  string               `json:"news_age"`
	LeaseAge   string               `json:"claim_age"`
	LeaseValid bool                 `json:"claimed"`
	Replicas   []membership.Replica `json:"cores"`
	Outbound   proxy.Totals         `json:"near"`
	Inbound    proxy.Totals         `json:"far"`
	Trace      trace.QueueStats     `json:"trace_queue"`
	Draining   bool                 `json:"draining"`
	// Closed tells that requests of clients are refused.
	Closed bool `json:"closed"`
	// KeysHeld counts the reservations of keys that this node stores for others,
	// KeysCompleted those of them with a response. KeysRecovered reports whether it has got
	// back its own of earlier incarnations.
	KeysHeld      int64 `json:"claims_held"`
	KeysCompleted int64 `json:"claims_settled"`
	KeysRecovered bool  `json:"claims_handed_over"`
	// BodyBytes are the bytes of requests' bodies in memory now, outbound and inbound.
	BodyBytes [2]int64 `json:"bodies_held"`
	// ExtraAttempts is how many extra attempts to each service this node may make now.
	ExtraAttempts map[string]float64 `json:"extra_legs"`
}

// stats reads all that GET /v1/stats shows.
func (s *Sidecar) stats() sidecarStats {
	watched := *s.agent.watchStatus.Load()
	stored, completed := s.replicaServer.Count()
	return sidecarStats{
		Node:          s.settings.Advertise,
		Incarnation:   s.process.Incarnation,
		Zone:          s.settings.Zone,
		Revision:      s.routingTable().Revision,
		Watch:         watched,
		UpdateAge:     time.Since(watched.LastUpdate).String(),
		LeaseAge:      s.agent.lease.Age(time.Now()).String(),
		LeaseValid:    s.leaseValid(),
		Replicas:      s.discovery.Replicas().Observed(),
		Outbound:      s.outbound.Counters.Snapshot(),
		Inbound:       s.inbound.Counters.Snapshot(),
		Trace:         s.traceQueue.Stats(),
		Draining:      s.draining.Load(),
		Closed:        s.closed.Load(),
		KeysHeld:      stored,
		KeysCompleted: completed,
		KeysRecovered: s.outbound.KeyReplication.Recovered(),
		BodyBytes:     [2]int64{s.outbound.Bodies.Reserved(), s.inbound.Bodies.Reserved()},
		ExtraAttempts: s.retryBudgets.Balances(),
	}
}
