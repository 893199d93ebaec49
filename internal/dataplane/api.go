package dataplane

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/process"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/trace"
)

func listenTCP(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// announceResponse is the response of an announcement.
type announceResponse struct {
	// Outgoing is where the backend sends its own calls.
	Outgoing string `json:"outgoing"`
	// Fault says why there is no such address. The backend is known all the same.
	Fault string `json:"fault,omitempty"`
	// Every is how soon the next announcement should come.
	Every string `json:"every"`
}

// backendView is a backend as an operator reads it.
type backendView struct {
	membership.Backend
	Age      string `json:"age"`
	Open     int64  `json:"open"`
	Limit    int64  `json:"limit"`
	Outgoing string `json:"outgoing"`
}

// sidecarStats is what GET /v1/stats shows.
type sidecarStats struct {
	Node        string               `json:"node"`
	Incarnation uint64               `json:"boot"`
	Zone        string               `json:"locality"`
	Revision    uint64               `json:"stamp"`
	Watch       watchStatus          `json:"follows"`
	UpdateAge   string               `json:"news_age"`
	LeaseAge    string               `json:"claim_age"`
	LeaseValid  bool                 `json:"claimed"`
	Replicas    []membership.Replica `json:"cores"`
	Outbound    proxy.Totals         `json:"near"`
	Inbound     proxy.Totals         `json:"far"`
	Trace       trace.QueueStats     `json:"trace_queue"`
	Draining    bool                 `json:"draining"`
	// Closed tells that requests of clients are refused.
	Closed bool `json:"closed"`
	// KeysHeld counts the claims on keys that this node holds for others, Settled those
	// of them with a response; HandedOver tells whether it has got its own of earlier
	// boots.
	KeysHeld       int64 `json:"claims_held"`
	KeysCompleted  int64 `json:"claims_settled"`
	KeysHandedOver bool  `json:"claims_handed_over"`
	// BodyBytes are the bytes of requests' bodies held now, by the near and the far side.
	BodyBytes [2]int64 `json:"bodies_held"`
	// ExtraAttempts is how many extra attempts to each service this node may make now.
	ExtraAttempts map[string]float64 `json:"extra_legs"`
}

// apiHandler serves a sidecar's /v1, /live and /ready.
func (s *Sidecar) apiHandler() http.Handler {
	mux := http.NewServeMux()
	s.process.RegisterCommon(mux, s.checkLiveness, s.Ready)
	mux.HandleFunc("POST /v1/backends", s.handleAnnounce)
	mux.HandleFunc("GET /v1/backends", s.handleBackends)
	mux.HandleFunc("DELETE /v1/backends/{instance}", s.handleLeave)
	mux.HandleFunc("GET /v1/nodes", func(w http.ResponseWriter, _ *http.Request) {
		process.JSON(w, http.StatusOK, s.agent.view.Load().Nodes())
	})
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) { process.JSON(w, http.StatusOK, s.readStats()) })
	mux.Handle("GET /v1/reload", s.reloader)
	mux.Handle("GET /metrics", s.metricsHandler())
	mux.HandleFunc("GET /v1/budgets", s.handleBudgets)
	mux.HandleFunc("GET /v1/costs", func(w http.ResponseWriter, _ *http.Request) {
		process.JSON(w, http.StatusOK, s.outbound.Latencies.Reports())
	})
	return mux
}

func (s *Sidecar) checkLiveness(ctx context.Context) (bool, string) {
	_, ok := actor.Ask(ctx, s.agent.mailbox, func(r chan<- bool) any { return msgPing{r} })
	return ok, "control thread"
}

// configured tells whether anybody has told this node a configuration and the nodes.
func (s *Sidecar) configured() bool {
	return s.agent.watchStatus.Load().Replica != "" || s.agent.controlState.Load() != nil
}

// Ready tells whether clients may be sent here, or why not.
func (s *Sidecar) Ready(context.Context) (bool, string) {
	switch {
	case s.draining.Load():
		return false, "stopping"
	case !s.configured():
		return false, "no core followed yet, and no other sidecar has a configuration"
	case !s.settings.NoKeys && !s.outbound.KeyReplication.RepairComplete():
		return false, "claims on keys are still being handed over"
	}
	return true, "serving"
}

// Announce takes a backend's word; ok is false if it could not be taken in time.
func (s *Sidecar) Announce(ctx context.Context, announcement endpoints.Announcement) (faults []string, ok bool) {
	return actor.Ask(ctx, s.agent.mailbox, func(c chan<- []string) any { return msgAnnounce{announcement, c} })
}

// Leave takes that a backend is leaving; known is false if there is none such.
func (s *Sidecar) Leave(ctx context.Context, instance string) (known, ok bool) {
	return actor.Ask(ctx, s.agent.mailbox, func(c chan<- bool) any { return msgLeave{instance, c} })
}

func (s *Sidecar) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var announcement endpoints.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&announcement); err != nil {
		process.Error(w, http.StatusBadRequest, "not an announcement: "+err.Error())
		return
	}
	faults, ok := s.Announce(r.Context(), announcement)
	if !ok {
		return
	}
	if len(faults) > 0 {
		process.Error(w, http.StatusUnprocessableEntity, faults...)
		return
	}
	response := announceResponse{Every: s.settings.Beat.String()}
	var err error
	if response.Outgoing, err = s.egress.addr(announcement.Service); err != nil {
		response.Fault = "outgoing address: " + err.Error()
	}
	process.JSON(w, http.StatusOK, response)
}

func (s *Sidecar) handleLeave(w http.ResponseWriter, r *http.Request) {
	ok, heard := s.Leave(r.Context(), r.PathValue("instance"))
	if heard && !ok {
		process.Error(w, http.StatusNotFound, "no such backend")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Sidecar) handleBackends(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	views := []backendView{}
	for _, endpoint := range s.agent.registry.Load().Endpoints() {
		addr, _ := s.egress.addr(endpoint.Service)
		views = append(views, backendView{Backend: endpoint.Backend, Age: now.Sub(endpoint.LastHeartbeat).String(), Open: endpoint.Admission.Outstanding(), Limit: s.inbound.ConcurrencyLimit(endpoint, now), Outgoing: addr})
	}
	process.JSON(w, http.StatusOK, views)
}

// handleBudgets shows the budgets of all contracts in force, summed over all nodes if
// a core has told the sums lately.
func (s *Sidecar) handleBudgets(w http.ResponseWriter, _ *http.Request) {
	sums, whole := s.agent.budgets.Totals()
	process.JSON(w, http.StatusOK, retrybudget.BudgetList{Complete: whole, Budgets: s.agent.table.Load().BudgetReports(sums)})
}

func (s *Sidecar) readStats() sidecarStats {
	watch := *s.agent.watchStatus.Load()
	held, completed := s.replicaServer.Count()
	return sidecarStats{
		Node: s.settings.Advertise, Incarnation: s.process.Incarnation, Zone: s.settings.Zone, Revision: s.agent.table.Load().Revision, Watch: watch,
		UpdateAge: time.Since(watch.LastUpdate).String(), LeaseAge: s.agent.lease.Age(time.Now()).String(), LeaseValid: s.leaseValid(), Replicas: s.discovery.Replicas().Observed(), Outbound: s.outbound.Counters.Snapshot(), Inbound: s.inbound.Counters.Snapshot(),
		Trace: s.traceQueue.Stats(), Draining: s.draining.Load(), Closed: s.closed.Load(), ExtraAttempts: s.agent.retryBudgets.Balances(),
		KeysHeld: held, KeysCompleted: completed, KeysHandedOver: s.outbound.KeyReplication.Recovered(), BodyBytes: [2]int64{s.outbound.Bodies.Reserved(), s.inbound.Bodies.Reserved()},
	}
}
