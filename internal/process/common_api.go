package process

import (
	"context"
	"net/http"
	"time"
)

// probeTimeout is how long a liveness or readiness probe may take.
const probeTimeout = 500 * time.Millisecond

// Probe reports whether a process is live or ready, and the reason.
type Probe func(ctx context.Context) (ok bool, reason string)

// RegisterCommon adds the endpoints that both programs serve: GET /live, /ready and /v1/log.
func (p *Process) RegisterCommon(mux *http.ServeMux, live, ready Probe) {
	mux.HandleFunc("GET /live", probeHandler(live))
	mux.HandleFunc("GET /ready", probeHandler(ready))
	mux.HandleFunc("GET /v1/log", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		p.LogRing.WriteTo(w)
	})
}

func probeHandler(probe Probe) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), probeTimeout)
		defer cancel()
		ok, reason := probe(ctx)
		status := http.StatusOK
		if !ok {
			status = http.StatusServiceUnavailable
		}
		WriteJSON(w, status, map[string]any{"ok": ok, "why": reason})
	}
}
