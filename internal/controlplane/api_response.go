package controlplane

import (
	"net/http"
	"strconv"
	"strings"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/process"
)

const (
	// headerRevision carries the revision of the document that is read or written.
	headerRevision = "Curlewwalk-Stamp"
	// headerGeneration carries the generation, the number that the operator gives a configuration.
	headerGeneration = "Curlewwalk-Edition"
)

// writeResponse is the response to an operator's command.
type writeResponse struct {
	Revision uint64            `json:"stamp,omitempty"`
	Result   consensus.Outcome `json:"taken"`
	// Applied is true if this replica knows all sidecars and they have applied the revision. It is
	// nil if the command was not committed. Behind lists the addresses of the sidecars that have
	// not applied the revision.
	Applied *bool    `json:"in_force,omitempty"`
	Behind  []string `json:"behind,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// validationError is the response to an invalid document.
type validationError struct {
	Error      string                  `json:"error"`
	Violations []config.FieldViolation `json:"faults"`
}

// writeViolations rejects an invalid document with status 422.
func writeViolations(w http.ResponseWriter, message string, violations ...config.FieldViolation) {
	process.WriteJSON(w, http.StatusUnprocessableEntity, validationError{Error: message, Violations: violations})
}

// writeUnavailable responds with status 503, so that the client retries at another replica.
func writeUnavailable(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "1")
	process.WriteError(w, http.StatusServiceUnavailable, message)
}

// readBody reads a request body of at most maxBytes. On failure, it writes an error response and
// returns false. path is the path of the violation that reports a body over the limit.
func readBody(w http.ResponseWriter, r *http.Request, document, path string, maxBytes int64) ([]byte, bool) {
	body, err := process.ReadDocument(w, r, maxBytes)
	switch {
	case err == nil:
		return body, true
	case err.Status == http.StatusRequestEntityTooLarge:
		writeViolations(w, document+" does not check", config.FieldViolation{Path: path, Message: err.Message})
	default:
		process.WriteError(w, err.Status, err.Message)
	}
	return nil, false
}

// parseIfMatch reads the revision that the If-Match header requires: that of the calendar for a
// command that replaces the calendar, and that of the configuration for all others. It returns nil
// if there is no header. If the header is malformed, parseIfMatch writes an error response and
// returns false.
func parseIfMatch(w http.ResponseWriter, r *http.Request) (revision *uint64, ok bool) {
	header := r.Header.Get("If-Match")
	if header == "" {
		return nil, true
	}
	parsed, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		process.WriteError(w, http.StatusBadRequest, "If-Match is no stamp")
		return nil, false
	}
	return &parsed, true
}

// writeResult writes the response to a submitted command. If the command was committed, writeResult
// first waits, for a bounded time, until the sidecars have applied its revision.
func (n *Node) writeResult(w http.ResponseWriter, r *http.Request, result consensus.CommandResult) {
	response := writeResponse{Result: result.Outcome, Revision: result.State.Revision}
	status := http.StatusOK
	switch result.Outcome {
	case consensus.OutcomeCommitted:
		setRevisionHeaders(w, result.State.Revision)
		behind, known := n.AwaitApplied(r.Context(), result.State.Revision)
		applied := known && len(behind) == 0
		response.Applied, response.Behind = &applied, behind
	case consensus.OutcomeMismatch:
		status = http.StatusPreconditionFailed
		response.Revision, response.Error = result.State.ConfigurationRevision, "the newest stamp is another one"
	case consensus.OutcomeConflict:
		status = http.StatusConflict
		response.Revision, response.Error = 0, "another configuration was taken under its number"
	case consensus.OutcomeSuperseded:
		status, response.Error = http.StatusServiceUnavailable, "a newer order on the locality was taken meanwhile"
	default:
		status, response.Error = http.StatusServiceUnavailable, "no majority of cores took it"
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	process.WriteJSON(w, status, response)
}

// setRevisionHeaders sets the revision header and the entity tag of a response.
func setRevisionHeaders(w http.ResponseWriter, revision uint64) {
	text := strconv.FormatUint(revision, 10)
	w.Header().Set(headerRevision, text)
	w.Header().Set("ETag", `"`+text+`"`)
}

// readState reads the newest committed control state. If no majority answers, readState writes an
// error response and returns false.
func (n *Node) readState(w http.ResponseWriter, r *http.Request) (config.ControlState, bool) {
	state, ok := n.QuorumRead(r.Context())
	if !ok {
		writeUnavailable(w, "no majority of cores answers")
	}
	return state, ok
}
