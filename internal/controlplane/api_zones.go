package controlplane

import (
	"net/http"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/process"
)

// zonesResponse is the JSON response to GET /v1/localities.
type zonesResponse struct {
	Evacuated []string             `json:"emptied"`
	Revision  uint64               `json:"stamp"`
	Windows   []config.ZoneClosure `json:"windows"`
}

// getZones handles GET /v1/localities.
func (n *Node) getZones(w http.ResponseWriter, r *http.Request) {
	state, ok := n.readState(w, r)
	if !ok {
		return
	}
	evacuated := state.EvacuatedZones()
	if evacuated == nil {
		evacuated = []string{} // encoded as [] instead of null
	}
	process.WriteJSON(w, http.StatusOK, zonesResponse{Revision: state.Revision, Evacuated: evacuated, Windows: state.Closures})
}

// zoneCommandHandler returns the handler of PUT or DELETE /v1/localities/{name}/emptied, which
// submits a command of the given kind.
func (n *Node) zoneCommandHandler(kind consensus.CommandKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := r.PathValue("name")
		if !config.IsValidName(zone) {
			writeViolations(w, "no locality", config.FieldViolation{Path: zone, Message: "must be " + config.NameRules})
			return
		}
		if revision, ok := parseIfMatch(w, r); ok {
			n.writeResult(w, r, n.submitZoneCommand(r.Context(), consensus.Command{Kind: kind, Zone: zone, IfMatch: revision}))
		}
	}
}

// getZoneDrain handles GET /v1/localities/{name}. The response shows the requests that still run in
// a zone, or for how long the zone has been drained. A replica without contact to a majority may
// not know the newest evacuation, so it responds with status 503.
func (n *Node) getZoneDrain(w http.ResponseWriter, r *http.Request) {
	newest, contact := n.replica.ReadIndex(r.Context())
	drain, ok := n.watchServer.DrainStatus(r.Context(), r.PathValue("name"))
	if !contact || !ok || drain.Revision < newest {
		writeUnavailable(w, "no majority of cores confirms what is known here")
		return
	}
	process.WriteJSON(w, http.StatusOK, drain)
}
