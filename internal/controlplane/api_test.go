package controlplane

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// The If-Match header accepts a revision with or without quotation marks and rejects other values.
func TestParseIfMatch(t *testing.T) {
	seven := uint64(7)
	for _, c := range []struct {
		name, header string
		want         *uint64
		status       int
	}{
		{"no header", "", nil, http.StatusOK},
		{"quoted", `"7"`, &seven, http.StatusOK},
		{"bare", "7", &seven, http.StatusOK},
		{"any", "*", nil, http.StatusBadRequest},
		{"negative", "-1", nil, http.StatusBadRequest},
		{"too large", "18446744073709551616", nil, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, "/v1/desired", nil)
			r.Header.Set("If-Match", c.header)
			got, ok := parseIfMatch(w, r)
			if diff := cmp.Diff(c.want, got); diff != "" || ok != (c.status == http.StatusOK) || w.Code != c.status {
				t.Errorf("ok %v, status %d, want %d; revision: %s", ok, w.Code, c.status, diff)
			}
		})
	}
}

// The generation header is optional. A generation is a decimal number of at least 1.
func TestParseGeneration(t *testing.T) {
	for _, c := range []struct {
		name, header string
		want         uint64
		status       int
	}{
		{"no header", "", 0, http.StatusOK},
		{"number", "7", 7, http.StatusOK},
		{"zero", "0", 0, http.StatusBadRequest},
		{"negative", "-1", 0, http.StatusBadRequest},
		{"not a number", "seven", 0, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, "/v1/desired", nil)
			r.Header.Set(headerGeneration, c.header)
			got, ok := parseGeneration(w, r)
			if got != c.want || ok != (c.status == http.StatusOK) || w.Code != c.status {
				t.Errorf("generation %d, ok %v, status %d; want %d and %d", got, ok, w.Code, c.want, c.status)
			}
		})
	}
}

// The status of a command that was not committed is final only if the same command can never be
// committed. In all other cases the status is 503 with a Retry-After header.
func TestWriteResult(t *testing.T) {
	state := config.ControlState{Revision: 9, ConfigurationRevision: 4}
	for _, c := range []struct {
		outcome    consensus.Outcome
		status     int
		revision   uint64
		retryAfter string
	}{
		{consensus.OutcomeMismatch, http.StatusPreconditionFailed, 4, ""},
		{consensus.OutcomeConflict, http.StatusConflict, 0, ""},
		{consensus.OutcomeSuperseded, http.StatusServiceUnavailable, 9, "1"},
		{consensus.OutcomeRejected, http.StatusServiceUnavailable, 9, "1"},
		{consensus.OutcomeUnknown, http.StatusServiceUnavailable, 9, "1"},
		{"outcome of a later version", http.StatusServiceUnavailable, 9, "1"},
	} {
		t.Run(string(c.outcome), func(t *testing.T) {
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, "/v1/desired", nil)
			(&Node{}).writeResult(w, r, consensus.CommandResult{Outcome: c.outcome, State: state})
			var response writeResponse
			if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
				t.Fatal(err)
			}
			if w.Code != c.status || w.Header().Get("Retry-After") != c.retryAfter {
				t.Errorf("status %d, Retry-After %q; want %d, %q", w.Code, w.Header().Get("Retry-After"), c.status, c.retryAfter)
			}
			if response.Result != c.outcome || response.Revision != c.revision || response.Error == "" || response.Applied != nil {
				t.Errorf("got response %+v, want revision %d and an error", response, c.revision)
			}
		})
	}
}

// An invalid document is rejected with its violations, and no command is submitted.
func TestInvalidDocuments(t *testing.T) {
	n := &Node{}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		body    string
		status  int
	}{
		{"configuration that is not JSON", n.putConfiguration, "{", http.StatusBadRequest},
		{"configuration that is not an object", n.putConfiguration, "7", http.StatusUnprocessableEntity},
		{"configuration with an unknown contract", n.putConfiguration, `{"ways":[{"name":"a","prefix":"/","service":"s","contract":"none"}]}`, http.StatusUnprocessableEntity},
		{"configuration over the size limit", n.putConfiguration, strings.Repeat(" ", config.MaxBytes+1), http.StatusUnprocessableEntity},
		{"calendar without a calendar", n.putCalendar, "BEGIN:VEVENT", http.StatusUnprocessableEntity},
		{"empty zone name", n.zoneCommandHandler(consensus.CommandEvacuate), "", http.StatusUnprocessableEntity},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			c.handler(w, httptest.NewRequest(http.MethodPut, "/", strings.NewReader(c.body)))
			if w.Code != c.status {
				t.Errorf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
			if response := new(validationError); c.status == http.StatusUnprocessableEntity {
				if err := json.Unmarshal(w.Body.Bytes(), response); err != nil || len(response.Violations) == 0 {
					t.Errorf("response %s lists no violations: %v", w.Body, err)
				}
			}
		})
	}
}
