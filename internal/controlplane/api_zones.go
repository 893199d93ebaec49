package controlplane

import (
	"net/http"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/process"
)

// zonesResponse is what GET /v1/localities shows.
type zonesResponse struct {
	Evacuated []string             `json:"emptied"`
	Revision  uint64               `json:"stamp"`
	Windows   []config.ZoneClosure `json:"windows"`
}

// getZones serves GET /v1/localities.
func (n *Node) getZones(w http.ResponseWriter, r *http.Request) {
	state, ok := n.readState(w, r)
	if !ok {
		return
	}
	evacuated := state.EvacuatedZones()
	if evacuated == nil {
		evacuated = []string{} // an empty list in JSON, not null
	}
	process.JSON(w, http.StatusOK, zonesResponse{Revision: state.Revision, Evacuated: evacuated, Windows: state.Closures})
}

// zoneCommandHandler serves PUT and DELETE /v1/localities/{name}/emptied.
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

// getZoneDrain serves GET /v1/localities/{name}: what still runs in a zone, and since when nothing
// does. A replica that has no contact with a majority may not know of the newest evacuation, and
// reports nothing.
func (n *Node) getZoneDrain(w http.ResponseWriter, r *http.Request) {
	newest, contact := n.replica.ReadIndex(r.Context())
	drain, ok := n.watchServer.DrainStatus(r.Context(), r.PathValue("name"))
	if !contact || !ok || drain.Revision < newest {
		writeUnavailable(w, "no majority of cores confirms what is known here")
		return
	}
	process.JSON(w, http.StatusOK, drain)
}
