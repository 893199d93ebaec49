package dataplane

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/process"
	"curlewwalk/internal/retrybudget"
)

// maxAnnouncementSize is the maximum size of an announcement's body, in bytes.
const maxAnnouncementSize = 64 << 10

// DepartureRetryAfter is the Retry-After header, in seconds, of a departure that is not acknowledged.
const DepartureRetryAfter = "1"

// apiHandler serves the sidecar's operator API: /v1, /live, /ready, and /metrics.
func (s *Sidecar) apiHandler() http.Handler {
	mux := http.NewServeMux()
	s.process.RegisterCommon(mux, s.checkLiveness, s.Ready)
	mux.HandleFunc("POST /v1/backends", s.handleAnnounce)
	mux.HandleFunc("GET /v1/backends", s.handleBackends)
	mux.HandleFunc("DELETE /v1/backends/{instance}", s.handleLeave)
	mux.HandleFunc("GET /v1/nodes", s.handleNodes)
	mux.HandleFunc("GET /v1/stats", s.handleStats)
	mux.HandleFunc("GET /v1/budgets", s.handleBudgets)
	mux.HandleFunc("GET /v1/costs", s.handleLatencies)
	mux.Handle("GET /v1/reload", s.reloader)
	mux.Handle("GET /metrics", s.metricsHandler())
	return mux
}

// checkLiveness reports whether the agent still handles messages, and returns the name of the
// checked component.
func (s *Sidecar) checkLiveness(ctx context.Context) (live bool, checked string) {
	_, live = actor.Ask(ctx, s.agent.mailbox, func(reply chan<- bool) any { return msgPing{reply} })
	return live, "control thread"
}

// Ready reports whether clients may send requests to this sidecar. The reason explains the
// result.
func (s *Sidecar) Ready(context.Context) (ready bool, reason string) {
	switch {
	case s.draining.Load():
		return false, "stopping"
	case !s.agent.configured():
		return false, "no core followed yet, and no other sidecar has a configuration"
	case !s.settings.NoKeys && !s.outbound.KeyReplication.RepairComplete():
		return false, "claims on keys are still being handed over"
	}
	return true, "serving"
}

var (
	// ErrDepartureNotRecorded means that the departure of a backend was not recorded in the control
	// state in time. The backend gets no more requests from this process, but it should announce its
	// departure again, since the departure may be lost with the process.
	ErrDepartureNotRecorded = errors.New("departure not recorded yet")
	// errNotProcessed means that the caller's context ended before its request was processed.
	errNotProcessed = errors.New("not processed")
)

// Announce registers an own backend, or marks the backend as leaving. faults lists the faults
// found in the announcement. An announcement with an error is not acknowledged; it may be sent
// again.
func (s *Sidecar) Announce(ctx context.Context, announcement endpoints.Announcement) (faults []string, err error) {
	result, ok := actor.Ask(ctx, s.agent.mailbox, func(reply chan<- announceResult) any { return msgAnnounce{announcement, reply} })
	return result.faults, departureError(ok, result.recorded)
}

// Leave marks an own backend as departed. known reports whether the backend was registered. A
// departure with an error is not acknowledged; it may be sent again.
func (s *Sidecar) Leave(ctx context.Context, instance string) (known bool, err error) {
	result, ok := actor.Ask(ctx, s.agent.mailbox, func(reply chan<- leaveResult) any { return msgLeave{instance, reply} })
	return result.known, departureError(ok, result.recorded)
}

// departureError returns the error of a request of a backend, or nil if it is acknowledged.
func departureError(processed, recorded bool) error {
	switch {
	case !processed:
		return errNotProcessed
	case !recorded:
		return ErrDepartureNotRecorded
	}
	return nil
}

// writeNotAcknowledged answers a request of a backend that is not acknowledged and should be sent
// again.
func writeNotAcknowledged(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", DepartureRetryAfter)
	process.WriteError(w, http.StatusServiceUnavailable, err.Error())
}

// announceResponse is the response to an announcement.
type announceResponse struct {
	// Outgoing is the address to which the backend sends its own calls.
	Outgoing string `json:"outgoing"`
	// Fault explains why Outgoing is empty. The backend is registered nevertheless.
	Fault string `json:"fault,omitempty"`
	// Every is the interval at which the backend should announce itself.
	Every string `json:"every"`
}

func (s *Sidecar) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var announcement endpoints.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementSize)).Decode(&announcement); err != nil {
		process.WriteError(w, http.StatusBadRequest, "not an announcement: "+err.Error())
		return
	}
	faults, err := s.Announce(r.Context(), announcement)
	if err != nil {
		writeNotAcknowledged(w, err)
		return
	}
	if len(faults) > 0 {
		process.WriteError(w, http.StatusUnprocessableEntity, faults...)
		return
	}
	response := announceResponse{Every: s.settings.Beat.String()}
	if response.Outgoing, err = s.egress.addr(announcement.Service); err != nil {
		response.Fault = "outgoing address: " + err.Error()
	}
	process.WriteJSON(w, http.StatusOK, response)
}

func (s *Sidecar) handleLeave(w http.ResponseWriter, r *http.Request) {
	known, err := s.Leave(r.Context(), r.PathValue("instance"))
	if err != nil {
		writeNotAcknowledged(w, err)
		return
	}
	if !known {
		process.WriteError(w, http.StatusNotFound, "no such backend")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Sidecar) handleBackends(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, s.backendViews())
}

func (s *Sidecar) handleNodes(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, s.membershipView().Nodes())
}

func (s *Sidecar) handleStats(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, s.stats())
}

// handleBudgets returns the budgets of all contracts in force. The figures are totals over
// all sidecars if a control plane replica has sent these recently. Otherwise they cover this
// sidecar only.
func (s *Sidecar) handleBudgets(w http.ResponseWriter, _ *http.Request) {
	totals, complete := s.latencyBudgets.Totals()
	process.WriteJSON(w, http.StatusOK, retrybudget.BudgetList{Complete: complete, Budgets: s.routingTable().BudgetReports(totals)})
}

func (s *Sidecar) handleLatencies(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, s.outbound.Latencies.Reports())
}
