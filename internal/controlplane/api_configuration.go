package controlplane

import (
	"encoding/json"
	"net/http"
	"strconv"

	"curlewwalk/internal/config"
	"curlewwalk/internal/process"
)

// putConfiguration handles PUT /v1/desired.
func (n *Node) putConfiguration(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, "configuration", "$", config.MaxBytes)
	if !ok {
		return
	}
	update := ConfigurationUpdate{Configuration: body}
	if update.IfMatch, ok = parseIfMatch(w, r); !ok {
		return
	}
	if update.Generation, ok = parseGeneration(w, r); !ok {
		return
	}
	if !json.Valid(body) {
		process.WriteError(w, http.StatusBadRequest, "not JSON")
		return
	}
	result, violations := n.PutConfiguration(r.Context(), update)
	if len(violations) > 0 {
		writeViolations(w, "configuration does not check", violations...)
		return
	}
	n.writeResult(w, r, result)
}

// parseGeneration reads the generation header of a request. It returns zero if there is none. If
// the header is malformed, parseGeneration writes an error response and returns false.
func parseGeneration(w http.ResponseWriter, r *http.Request) (generation uint64, ok bool) {
	header := r.Header.Get(headerGeneration)
	if header == "" {
		return 0, true
	}
	generation, err := strconv.ParseUint(header, 10, 64)
	if err != nil || generation == 0 {
		process.WriteError(w, http.StatusBadRequest, headerGeneration+" is no number from 1")
		return 0, false
	}
	return generation, true
}

// getConfiguration handles GET /v1/desired.
func (n *Node) getConfiguration(w http.ResponseWriter, r *http.Request) {
	state, ok := n.readState(w, r)
	if !ok {
		return
	}
	if state.ConfigurationRevision == 0 {
		process.WriteError(w, http.StatusNotFound, "no configuration was ever put")
		return
	}
	setRevisionHeaders(w, state.ConfigurationRevision)
	if state.Generation != 0 {
		w.Header().Set(headerGeneration, strconv.FormatUint(state.Generation, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(state.Configuration)
}
