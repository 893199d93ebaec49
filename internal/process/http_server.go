package process

import (
	"context"
	"net"
	"net/http"
	"time"
)

// The limits of what clients may take of an HTTP server.
const (
	readHeaderTimeout = 10 * time.Second // (ours)
	idleTimeout       = 2 * time.Minute  // (ours)
	maxHeaderBytes    = 1 << 20          // (ours)
)

// shutdownPollInterval is how often a server that shuts down looks for idle connections.
const shutdownPollInterval = 10 * time.Millisecond // (ours)

// HTTPServer is an HTTP server on one listener, which can close its connections without leaving a
// request unanswered.
type HTTPServer struct {
	Listener net.Listener
	server   *http.Server
	tracked  *trackedListener
	// acceptDone is closed when no connection is accepted any more.
	acceptDone chan struct{}
}

// Serve starts an HTTP server on a listener. net/http starts a goroutine for each connection itself:
// the one exception to the rule that goroutines are started by package actor. (DESIGN 13)
func (p *Process) Serve(ln net.Listener, h http.Handler) *HTTPServer {
	s := &HTTPServer{Listener: ln, tracked: newTrackedListener(ln), acceptDone: make(chan struct{})}
	s.server = &http.Server{
		Handler:           rejectAfterClosing(h),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.onConnState,
		ConnContext:       withTrackedConn,
	}
	p.Actors.Go(p.Context, "http", func(context.Context) {
		defer close(s.acceptDone)
		s.server.Serve(s.tracked)
	})
	p.httpServers.add(s)
	return s
}

// onConnState follows the states of the connections.
func (s *HTTPServer) onConnState(c net.Conn, state http.ConnState) {
	conn := c.(*trackedConn)
	switch state {
	case http.StateIdle:
		conn.markIdle()
	case http.StateClosed, http.StateHijacked:
		s.tracked.remove(conn)
	}
}

// CloseIdle sends the closing response on idle connections until all connections have ended or ctx
// does; busy ones become idle or end meanwhile. New connections are accepted until all that were
// there have ended, and closed in the same way.
func (s *HTTPServer) CloseIdle(ctx context.Context, closingResponse []byte) {
	allEnded := func() bool { return len(s.tracked.connections()) == 0 }
	s.closeIdleUntil(ctx, closingResponse, allEnded)
	s.closeIdleUntil(ctx, closingResponse, func() bool { return !s.tracked.hasPending() })
	// Not by http.Server.Shutdown: after it, net/http reads requests and closes without a response.
	s.tracked.Close()
	<-s.acceptDone
	s.closeIdleUntil(ctx, closingResponse, allEnded)
}

// closeIdleUntil sends the closing response on idle connections until done or ctx ends.
func (s *HTTPServer) closeIdleUntil(ctx context.Context, closingResponse []byte, done func() bool) {
	tick := time.NewTicker(shutdownPollInterval)
	defer tick.Stop()
	for !done() {
		for _, c := range s.tracked.connections() {
			c.closeIfIdle(closingResponse)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Shutdown lets requests finish until ctx ends, then cuts the connections that are left.
func (s *HTTPServer) Shutdown(ctx context.Context) {
	if s.server.Shutdown(ctx) != nil {
		s.server.Close()
	}
}
