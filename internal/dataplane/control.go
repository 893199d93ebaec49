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

func listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// announced is the response of an announcement.
type announced struct {
	// Outgoing is where the backend sends its own calls.
	Outgoing string `json:"outgoing"`
	// Fault says why there is no such address. The backend is known all the same.
	Fault string `json:"fault,omitempty"`
	// Every is how soon the next announcement should come.
	Every string `json:"every"`
}

// entryView is a backend as an operator reads it.
type entryView struct {
	membership.Backend
	Age      string `json:"age"`
	Open     int64  `json:"open"`
	Limit    int64  `json:"limit"`
	Outgoing string `json:"outgoing"`
}

// stats is what GET /v1/stats shows.
type stats struct {
	Node     string               `json:"node"`
	Boot     uint64               `json:"boot"`
	Zone     string               `json:"locality"`
	Stamp    uint64               `json:"stamp"`
	Follows  follows              `json:"follows"`
	NewsAge  string               `json:"news_age"`
	ClaimAge string               `json:"claim_age"`
	Claimed  bool                 `json:"claimed"`
	Cores    []membership.Replica `json:"cores"`
	Near     proxy.Totals         `json:"near"`
	Far      proxy.Totals         `json:"far"`
	Trace    trace.QueueStats     `json:"trace_queue"`
	Draining bool                 `json:"draining"`
	// Closed tells that requests of clients are refused.
	Closed bool `json:"closed"`
	// Held counts the claims on keys that this node holds for others, Settled those
	// of them with a response; HandedOver tells whether it has got its own of earlier
	// boots.
	Held       int64 `json:"claims_held"`
	Settled    int64 `json:"claims_settled"`
	HandedOver bool  `json:"claims_handed_over"`
	// Bodies are the bytes of requests' bodies held now, by the near and the far side.
	Bodies [2]int64 `json:"bodies_held"`
	// ExtraAttempts is how many extra attempts to each service this node may make now.
	ExtraAttempts map[string]float64 `json:"extra_legs"`
}

// control serves a sidecar's /v1, /live and /ready.
func (n *Node) control() http.Handler {
	mux := http.NewServeMux()
	n.p.RegisterCommon(mux, n.live, n.Ready)
	mux.HandleFunc("POST /v1/backends", n.announce)
	mux.HandleFunc("GET /v1/backends", n.backends)
	mux.HandleFunc("DELETE /v1/backends/{instance}", n.leave)
	mux.HandleFunc("GET /v1/nodes", func(w http.ResponseWriter, _ *http.Request) {
		process.JSON(w, http.StatusOK, n.steward.view.Load().Nodes())
	})
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) { process.JSON(w, http.StatusOK, n.stats()) })
	mux.Handle("GET /v1/reload", n.reload)
	mux.Handle("GET /metrics", n.metrics())
	mux.HandleFunc("GET /v1/budgets", n.budgets)
	mux.HandleFunc("GET /v1/costs", func(w http.ResponseWriter, _ *http.Request) {
		process.JSON(w, http.StatusOK, n.near.Latencies.Reports())
	})
	return mux
}

func (n *Node) live(ctx context.Context) (bool, string) {
	_, ok := actor.Ask(ctx, n.steward.box, func(r chan<- bool) any { return msgLive{r} })
	return ok, "control thread"
}

// known tells whether anybody has told this node a configuration and the nodes.
func (n *Node) known() bool {
	return n.steward.shown.Load().Core != "" || n.steward.spoken.Load() != nil
}

// Ready tells whether clients may be sent here, or why not.
func (n *Node) Ready(context.Context) (bool, string) {
	switch {
	case n.draining.Load():
		return false, "stopping"
	case !n.known():
		return false, "no core followed yet, and no other sidecar has a configuration"
	case !n.set.NoKeys && !n.near.KeyReplication.RepairComplete():
		return false, "claims on keys are still being handed over"
	}
	return true, "serving"
}

// Announce takes a backend's word; ok is false if it could not be taken in time.
func (n *Node) Announce(ctx context.Context, a endpoints.Announcement) (faults []string, ok bool) {
	return actor.Ask(ctx, n.steward.box, func(c chan<- []string) any { return msgAnnounce{a, c} })
}

// Leave takes that a backend is leaving; known is false if there is none such.
func (n *Node) Leave(ctx context.Context, instance string) (known, ok bool) {
	return actor.Ask(ctx, n.steward.box, func(c chan<- bool) any { return msgLeave{instance, c} })
}

func (n *Node) announce(w http.ResponseWriter, r *http.Request) {
	var a endpoints.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&a); err != nil {
		process.Error(w, http.StatusBadRequest, "not an announcement: "+err.Error())
		return
	}
	faults, ok := n.Announce(r.Context(), a)
	if !ok {
		return
	}
	if len(faults) > 0 {
		process.Error(w, http.StatusUnprocessableEntity, faults...)
		return
	}
	got := announced{Every: n.set.Beat.String()}
	var err error
	if got.Outgoing, err = n.outgoing.addr(a.Service); err != nil {
		got.Fault = "outgoing address: " + err.Error()
	}
	process.JSON(w, http.StatusOK, got)
}

func (n *Node) leave(w http.ResponseWriter, r *http.Request) {
	ok, heard := n.Leave(r.Context(), r.PathValue("instance"))
	if heard && !ok {
		process.Error(w, http.StatusNotFound, "no such backend")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) backends(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := []entryView{}
	for _, e := range n.steward.roster.Load().Endpoints() {
		addr, _ := n.outgoing.addr(e.Service)
		out = append(out, entryView{Backend: e.Backend, Age: now.Sub(e.LastHeartbeat).String(), Open: e.Admission.Outstanding(), Limit: n.far.ConcurrencyLimit(e, now), Outgoing: addr})
	}
	process.JSON(w, http.StatusOK, out)
}

// budgets shows the budgets of all contracts in force, summed over all nodes if
// a core has told the sums lately.
func (n *Node) budgets(w http.ResponseWriter, _ *http.Request) {
	sums, whole := n.steward.budgets.Totals()
	process.JSON(w, http.StatusOK, retrybudget.BudgetList{Complete: whole, Budgets: n.steward.table.Load().BudgetReports(sums)})
}

func (n *Node) stats() stats {
	f := *n.steward.shown.Load()
	held, settled := n.holder.Count()
	return stats{
		Node: n.set.Advertise, Boot: n.p.Incarnation, Zone: n.set.Zone, Stamp: n.steward.table.Load().Revision, Follows: f,
		NewsAge: time.Since(f.Since).String(), ClaimAge: n.steward.claim.Age(time.Now()).String(), Claimed: n.claimed(), Cores: n.seeker.Replicas().Observed(), Near: n.near.Counters.Snapshot(), Far: n.far.Counters.Snapshot(),
		Trace: n.queue.Stats(), Draining: n.draining.Load(), Closed: n.closed.Load(), ExtraAttempts: n.steward.retryBudgets.Balances(),
		Held: held, Settled: settled, HandedOver: n.near.KeyReplication.Recovered(), Bodies: [2]int64{n.near.Bodies.Reserved(), n.far.Bodies.Reserved()},
	}
}
