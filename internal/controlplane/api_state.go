package controlplane

import (
	"net/http"
	"time"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/process"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/watch"
)

// stateResponse is the JSON response to GET /v1/state.
type stateResponse struct {
	Self     membership.Replica `json:"self"`
	Phase    consensus.Phase    `json:"phase"`
	Promised uint64             `json:"promised"`
	// Position is the position of the control state that this replica has accepted.
	Position consensus.Position   `json:"mark"`
	Members  consensus.MemberSets `json:"slots"`
	// MemberRecords holds the highest known incarnation of each member, by member ID.
	MemberRecords map[int]consensus.MemberRecord `json:"incarnations"`
	Coordinator   int                            `json:"duty"`
	Replicas      []membership.Replica           `json:"cores"`
	// Live lists the member IDs of the other replicas that are live.
	Live  []int        `json:"live"`
	Watch watch.Status `json:"directory"`
}

// getState handles GET /v1/state.
func (n *Node) getState(w http.ResponseWriter, r *http.Request) {
	acceptor, replicas := n.replica.Acceptor(), n.discovery.Replicas()
	state := stateResponse{
		Self:          n.cluster.status(),
		Phase:         acceptor.Phase,
		Promised:      acceptor.Promised,
		Position:      acceptor.Position,
		Members:       acceptor.MemberSets(),
		MemberRecords: acceptor.MemberRecords,
		Coordinator:   n.cluster.coordinator().MemberID,
		Replicas:      replicas.Observed(),
	}
	for _, replica := range replicas.Live(time.Now()) {
		state.Live = append(state.Live, replica.MemberID)
	}
	state.Watch, _ = n.watchServer.Status(r.Context())
	process.WriteJSON(w, http.StatusOK, state)
}

// getBudgets handles GET /v1/budgets. The response holds the latency budgets, summed over the
// sidecars known to this replica.
func (n *Node) getBudgets(w http.ResponseWriter, r *http.Request) {
	status, ok := n.watchServer.Status(r.Context())
	table, valid := routing.NewTable(status.ControlState)
	if !ok || !valid {
		process.WriteError(w, http.StatusServiceUnavailable, "no configuration is known")
		return
	}
	process.WriteJSON(w, http.StatusOK, retrybudget.BudgetList{
		Complete: status.Ready,
		Budgets:  table.BudgetReports(n.watchServer.Budgets()),
	})
}
