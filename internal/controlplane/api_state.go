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

// stateResponse is what GET /v1/state shows.
type stateResponse struct {
	Self     membership.Replica `json:"self"`
	Phase    consensus.Phase    `json:"phase"`
	Promised uint64             `json:"promised"`
	// Position is that of the control state that this replica has accepted.
	Position consensus.Position   `json:"mark"`
	Members  consensus.MemberSets `json:"slots"`
	// MemberRecords are the highest known incarnations, by member ID.
	MemberRecords map[int]consensus.MemberRecord `json:"incarnations"`
	Coordinator   int                            `json:"duty"`
	Replicas      []membership.Replica           `json:"cores"`
	// Live has the member IDs of the other replicas that are live.
	Live  []int        `json:"live"`
	Watch watch.Status `json:"directory"`
}

// getState serves GET /v1/state.
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
	process.JSON(w, http.StatusOK, state)
}

// getBudgets serves GET /v1/budgets: the retry budgets, summed over the sidecars that this replica
// knows of.
func (n *Node) getBudgets(w http.ResponseWriter, r *http.Request) {
	status, ok := n.watchServer.Status(r.Context())
	table, valid := routing.NewTable(status.ControlState)
	if !ok || !valid {
		process.Error(w, http.StatusServiceUnavailable, "no configuration is known")
		return
	}
	process.JSON(w, http.StatusOK, retrybudget.BudgetList{
		Complete: status.Ready,
		Budgets:  table.BudgetReports(n.watchServer.Budgets()),
	})
}
