package process

import (
	"context"
	"net/http"
	"time"
)

// probeTimeout bounds the answer to a liveness or readiness probe.
const probeTimeout = 500 * time.Millisecond // (ours)

// Probe tells whether a process is live or ready, and why.
type Probe func(ctx context.Context) (ok bool, why string)

// RegisterCommon adds the endpoints of both programs: GET /live, /ready and /v1/log.
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
		ok, why := probe(ctx)
		status := http.StatusOK
		if !ok {
			status = http.StatusServiceUnavailable
		}
		JSON(w, status, map[string]any{"ok": ok, "why": why})
	}
}
