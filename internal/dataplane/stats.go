package dataplane

import (
	"time"

	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/trace"
)

// backendView describes an own backend in the operator API.
type backendView struct {
	membership.Backend
	// Age is the time since the backend's last announcement.
	Age string `json:"age"`
	// Open is the number of requests that are running at the backend or waiting for it. Limit
	// is the number that it may currently run at the same time.
	Open  int64 `json:"open"`
	Limit int64 `json:"limit"`
	// Outgoing is the address to which the backend sends its own calls.
	Outgoing string `json:"outgoing"`
}

// backendViews returns the own backends.
func (s *Sidecar) backendViews() []backendView {
	now := time.Now()
	views := []backendView{}
	for _, endpoint := range s.agent.registry.Load().Endpoints() {
		outgoing, _ := s.egress.addr(endpoint.Service) // empty if the listener cannot be opened
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

// sidecarStats is the response to GET /v1/stats.
type sidecarStats struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"boot"`
	Zone        string `json:"locality"`
	// Revision is the revision of the routing table.
	Revision uint64      `json:"stamp"`
	Watch    watchStatus `json:"follows"`
	// UpdateAge is the time since the last control plane update. LeaseAge is the time since
	// the moment as of which the lease was renewed.
	UpdateAge  string               `json:"news_age"`
	LeaseAge   string               `json:"claim_age"`
	LeaseValid bool                 `json:"claimed"`
	Replicas   []membership.Replica `json:"cores"`
	Outbound   proxy.Totals         `json:"near"`
	Inbound    proxy.Totals         `json:"far"`
	Trace      trace.QueueStats     `json:"trace_queue"`
	Draining   bool                 `json:"draining"`
	// Closed reports whether requests from clients are refused.
	Closed bool `json:"closed"`
	// KeysHeld is the number of key reservations that this node stores for other sidecars.
	// KeysCompleted is the number of those that have a response. KeysRecovered reports
	// whether this node has recovered the reservations of its own earlier incarnations.
	KeysHeld      int64 `json:"claims_held"`
	KeysCompleted int64 `json:"claims_settled"`
	KeysRecovered bool  `json:"claims_handed_over"`
	// BodyBytes holds the sizes in bytes of the request bodies in memory: outbound, then
	// inbound.
	BodyBytes [2]int64 `json:"bodies_held"`
	// ExtraAttempts maps each service to the number of extra attempts that this node may
	// currently make to it.
	ExtraAttempts map[string]float64 `json:"extra_legs"`
}

// stats returns the response to GET /v1/stats.
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
		Closed:        s.refusing.Load(),
		KeysHeld:      stored,
		KeysCompleted: completed,
		KeysRecovered: s.outbound.KeyReplication.Recovered(),
		BodyBytes:     [2]int64{s.outbound.Bodies.Reserved(), s.inbound.Bodies.Reserved()},
		ExtraAttempts: s.retryBudgets.Balances(),
	}
}
