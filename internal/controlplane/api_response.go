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
	// headerRevision carries the revision of what is read or written.
	headerRevision = "Curlewwalk-Stamp"
	// headerGeneration carries the operator's own number of a configuration.
	headerGeneration = "Curlewwalk-Edition"
)

// writeResponse is the response to an operator's command.
type writeResponse struct {
	Revision uint64            `json:"stamp,omitempty"`
	Result   consensus.Outcome `json:"taken"`
	// Applied tells whether every sidecar that this replica knows of has applied the revision;
	// Behind lists those that have not.
	Applied *bool    `json:"in_force,omitempty"`
	Behind  []string `json:"behind,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// validationError is the response to a document that is not valid.
type validationError struct {
	Error  string                  `json:"error"`
	Faults []config.FieldViolation `json:"faults"`
}

// writeViolations rejects a document that is not valid.
func writeViolations(w http.ResponseWriter, message string, violations ...config.FieldViolation) {
	process.JSON(w, http.StatusUnprocessableEntity, validationError{Error: message, Faults: violations})
}

// writeUnavailable sends an operator to another replica.
func writeUnavailable(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "1")
	process.Error(w, http.StatusServiceUnavailable, message)
}

// readBody reads a document of at most maxBytes. If it can't, it writes the response and returns
// false; path is where a violation of the size is reported.
func readBody(w http.ResponseWriter, r *http.Request, document, path string, maxBytes int64) ([]byte, bool) {
	body, err := process.ReadDocument(w, r, maxBytes)
	switch {
	case err == nil:
		return body, true
	case err.Status == http.StatusRequestEntityTooLarge:
		writeViolations(w, document+" does not check", config.FieldViolation{Path: path, Message: err.Message})
	default:
		process.Error(w, err.Status, err.Message)
	}
	return nil, false
}

// parseIfMatch reads the revision that a command is bound to; nil if it is bound to none. If the
// header is malformed, it writes the response and returns false.
func parseIfMatch(w http.ResponseWriter, r *http.Request) (revision *uint64, ok bool) {
	header := r.Header.Get("If-Match")
	if header == "" {
		return nil, true
	}
	parsed, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		process.Error(w, http.StatusBadRequest, "If-Match is no stamp")
		return nil, false
	}
	return &parsed, true
}

// writeResult responds to a command that was submitted. One that was committed is waited for until
// the sidecars have applied it, for a bounded time.
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
	process.JSON(w, status, response)
}

func setRevisionHeaders(w http.ResponseWriter, revision uint64) {
	text := strconv.FormatUint(revision, 10)
	w.Header().Set(headerRevision, text)
	w.Header().Set("ETag", `"`+text+`"`)
}

// readState reads the newest committed control state. If no majority answers, it writes the
// response and returns false.
func (n *Node) readState(w http.ResponseWriter, r *http.Request) (config.ControlState, bool) {
	state, ok := n.QuorumRead(r.Context())
	if !ok {
		writeUnavailable(w, "no majority of cores answers")
	}
	return state, ok
}
