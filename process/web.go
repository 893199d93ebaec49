package process

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Web is one HTTP listener.
type Web struct {
	Listener net.Listener
	server   *http.Server
	conns    atomic.Int64
}

// Conns is how many connections are open.
func (w *Web) Conns() int64 { return w.conns.Load() }

// track counts connections.
func (w *Web) track(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		w.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		w.conns.Add(-1)
	}
}

// Serve starts an HTTP server on a listener. net/http starts a goroutine for
// each connection itself: the one exception to launch. (DESIGN 13)
func (p *Process) Serve(ln net.Listener, h http.Handler) *Web {
	w := &Web{Listener: ln, server: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 1 << 20}}
	w.server.ConnState = w.track
	p.Launcher.Go(p.Life, "http", func(context.Context) { w.server.Serve(ln) })
	return w
}

// Stop lets open inquiries finish until ctx ends, then cuts what is left.
func (w *Web) Stop(ctx context.Context) {
	if w.server.Shutdown(ctx) != nil {
		w.server.Close()
	}
}

// JSON writes v as the answer.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(v)
}

// Error writes a refusal as the answer.
func Error(w http.ResponseWriter, status int, faults ...string) {
	JSON(w, status, map[string]string{"error": strings.Join(faults, "; ")})
}

// Common serves what both programs show: live, ready and the ring.
func (p *Process) Common(mux *http.ServeMux, live, ready func(ctx context.Context) (ok bool, why string)) {
	probe := func(ask func(context.Context) (bool, string)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), 500*time.Millisecond)
			defer cancel()
			ok, why := ask(ctx)
			status := http.StatusOK
			if !ok {
				status = http.StatusServiceUnavailable
			}
			JSON(w, status, map[string]any{"ok": ok, "why": why})
		}
	}
	mux.HandleFunc("GET /live", probe(live))
	mux.HandleFunc("GET /ready", probe(ready))
	mux.HandleFunc("GET /v1/log", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		p.Ring.WriteTo(w)
	})
}
