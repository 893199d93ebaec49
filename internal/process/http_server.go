package process

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"
)

// shutdownPollInterval is how often a stopping listener looks at what is left. (ours)
const shutdownPollInterval = 10 * time.Millisecond

// HTTPServer is one HTTP listener.
type HTTPServer struct {
	Listener    net.Listener
	server      *http.Server
	connections *trackedListener
	// acceptDone is closed when no connection is accepted any more.
	acceptDone chan struct{}
}

// onConnState follows the state of the connections.
func (w *HTTPServer) onConnState(c net.Conn, s http.ConnState) {
	client := c.(*trackedConn)
	switch s {
	case http.StateIdle:
		client.markIdle()
	case http.StateClosed, http.StateHijacked:
		w.connections.remove(client)
	}
}

// Serve starts an HTTP server on a listener. net/http starts a goroutine for
// each connection itself: the one exception to launch. (DESIGN 13)
func (p *Process) Serve(ln net.Listener, h http.Handler) *HTTPServer {
	w := &HTTPServer{Listener: ln, connections: newTrackedListener(ln), acceptDone: make(chan struct{})}
	w.server = &http.Server{
		Handler:           rejectAfterClosing(h),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    1 << 20,
		ConnState:         w.onConnState,
		ConnContext:       withTrackedConn,
	}
	p.Actors.Go(p.Context, "http", func(context.Context) {
		defer close(w.acceptDone)
		w.server.Serve(w.connections)
	})
	p.httpServers.add(w)
	return w
}

// CloseIdle says farewell on all idle connections, again and again, until all have
// ended or ctx does. Busy ones become idle or end meanwhile. New connections are taken
// until all that were there have ended, and said farewell on as well.
func (w *HTTPServer) CloseIdle(ctx context.Context, farewell []byte) {
	w.closeIdleUntil(ctx, farewell, func() bool { return len(w.connections.connections()) == 0 })
	w.closeIdleUntil(ctx, farewell, func() bool { return !w.connections.hasPending() })
	// Not by Shutdown: after it, net/http reads requests and closes without an answer.
	w.connections.Close()
	<-w.acceptDone
	w.closeIdleUntil(ctx, farewell, func() bool { return len(w.connections.connections()) == 0 })
}

// closeIdleUntil says farewell on idle connections until there is enough or ctx ends.
func (w *HTTPServer) closeIdleUntil(ctx context.Context, farewell []byte, enough func() bool) {
	tick := time.NewTicker(shutdownPollInterval)
	defer tick.Stop()
	for !enough() {
		for _, c := range w.connections.connections() {
			c.closeIfIdle(farewell)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Shutdown lets open requests finish until ctx ends, then cuts what is left.
func (w *HTTPServer) Shutdown(ctx context.Context) {
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

// RegisterCommon serves what both programs show: live, ready and the ring.
func (p *Process) RegisterCommon(mux *http.ServeMux, live, ready func(ctx context.Context) (ok bool, why string)) {
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
		p.LogRing.WriteTo(w)
	})
}
