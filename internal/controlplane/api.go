package controlplane

import (
	"net/http"

	"curlewwalk/internal/controlplane/consensus"
)

// apiHandler returns the HTTP handler of the /v1 API, /metrics, /live and /ready.
// docs/OPERATING.md describes each endpoint.
func (n *Node) apiHandler() http.Handler {
	mux := http.NewServeMux()
	n.process.RegisterCommon(mux, n.live, n.Ready)
	mux.HandleFunc("PUT /v1/desired", n.putConfiguration)
	mux.HandleFunc("GET /v1/desired", n.getConfiguration)
	mux.HandleFunc("GET /v1/localities", n.getZones)
	mux.HandleFunc("GET /v1/localities/{name}", n.getZoneDrain)
	mux.HandleFunc("PUT /v1/localities/{name}/emptied", n.zoneCommandHandler(consensus.CommandEvacuate))
	mux.HandleFunc("DELETE /v1/localities/{name}/emptied", n.zoneCommandHandler(consensus.CommandRevokeEvacuation))
	mux.HandleFunc("PUT /v1/windows", n.putCalendar)
	mux.HandleFunc("GET /v1/windows", n.getCalendar)
	mux.HandleFunc("DELETE /v1/windows", n.deleteCalendar)
	mux.HandleFunc("GET /v1/traces/{id}", n.getTrace)
	mux.HandleFunc("GET /v1/state", n.getState)
	mux.HandleFunc("GET /v1/budgets", n.getBudgets)
	mux.Handle("GET /v1/reload", n.reloader)
	mux.Handle("GET /metrics", n.metricsHandler())
	return mux
}
