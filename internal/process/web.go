package process

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"
)

// stopPoll is how often a stopping listener looks at what is left. (ours)
const stopPoll = 10 * time.Millisecond

// Web is one HTTP listener.
type Web struct {
	Listener net.Listener
	server   *http.Server
	clients  *clientListener
	// served is closed when no connection is accepted any more.
	served chan struct{}
}

// track follows the state of the connections.
func (w *Web) track(c net.Conn, s http.ConnState) {
	client := c.(*clientConnection)
	switch s {
	case http.StateIdle:
		client.idle()
	case http.StateClosed, http.StateHijacked:
		w.clients.forget(client)
	}
}

// Serve starts an HTTP server on a listener. net/http starts a goroutine for
// each connection itself: the one exception to launch. (DESIGN 13)
func (p *Process) Serve(ln net.Listener, h http.Handler) *Web {
	w := &Web{Listener: ln, clients: newClientListener(ln), served: make(chan struct{})}
	w.server = &http.Server{
		Handler:           unlessLeft(h),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    1 << 20,
		ConnState:         w.track,
		ConnContext:       withConnection,
	}
	p.Launcher.Go(p.Life, "http", func(context.Context) {
		defer close(w.served)
		w.server.Serve(w.clients)
	})
	p.webs.add(w)
	return w
}

// Part says farewell on all idle connections, again and again, until all have
// ended or ctx does. Busy ones become idle or end meanwhile. New connections are taken
// until all that were there have ended, and said farewell on as well.
func (w *Web) Part(ctx context.Context, farewell []byte) {
	w.partUntil(ctx, farewell, func() bool { return len(w.clients.connections()) == 0 })
	w.partUntil(ctx, farewell, func() bool { return !w.clients.pending() })
	// Not by Shutdown: after it, net/http reads requests and closes without an answer.
	w.clients.Close()
	<-w.served
	w.partUntil(ctx, farewell, func() bool { return len(w.clients.connections()) == 0 })
}

// partUntil says farewell on idle connections until there is enough or ctx ends.
func (w *Web) partUntil(ctx context.Context, farewell []byte, enough func() bool) {
	tick := time.NewTicker(stopPoll)
	defer tick.Stop()
	for !enough() {
		for _, c := range w.clients.connections() {
			c.sayFarewell(farewell)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Stop lets open requests finish until ctx ends, then cuts what is left.
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
