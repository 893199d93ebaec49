package process

import (
	"context"
	"net"
	"net/http"
	"time"
)

// The limits on the resources of an HTTP server that a client can occupy.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 1 << 20
)

// shutdownPollInterval is the interval at which a server that is shutting down checks for idle
// connections.
const shutdownPollInterval = 10 * time.Millisecond

// HTTPServer is an HTTP server on one listener. It can close its connections without leaving a
// request unanswered.
type HTTPServer struct {
	Listener net.Listener
	server   *http.Server
	tracked  *trackedListener
	// acceptDone is closed when the server has stopped accepting connections.
	acceptDone chan struct{}
}

// Serve starts an HTTP server on a listener. net/http itself starts a goroutine for each
// connection. This is the only exception to the rule that package actor starts all goroutines.
// (DESIGN 13)
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

// onConnState marks a connection as idle, or removes it from the open connections, when net/http
// reports the change of its state.
func (s *HTTPServer) onConnState(c net.Conn, state http.ConnState) {
	conn := c.(*trackedConn)
	switch state {
	case http.StateIdle:
		conn.markIdle()
	case http.StateClosed, http.StateHijacked:
		s.tracked.remove(conn)
	}
}

// CloseIdle closes the listener and all connections. It sends the closing response on each
// connection as soon as the connection is idle. Until all open connections have ended and none is
// pending in the kernel, the server still accepts connections and closes them in the same way. If
// ctx ends first, CloseIdle closes the listener and returns while connections are still open.
func (s *HTTPServer) CloseIdle(ctx context.Context, closingResponse []byte) {
	allEnded := func() bool { return len(s.tracked.connections()) == 0 }
	s.closeIdleUntil(ctx, closingResponse, allEnded)
	s.closeIdleUntil(ctx, closingResponse, func() bool { return !s.tracked.hasPending() })
	// http.Server.Shutdown is not used here: after it, net/http may read a request and close the
	// connection without a response.
	s.tracked.Close()
	<-s.acceptDone
	s.closeIdleUntil(ctx, closingResponse, allEnded)
}

// closeIdleUntil sends the closing response on idle connections until done returns true or ctx
// ends.
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

// Shutdown waits for running requests until ctx ends, then closes the remaining connections. Unlike
// CloseIdle, it sends no closing response.
func (s *HTTPServer) Shutdown(ctx context.Context) {
	if s.server.Shutdown(ctx) != nil {
		s.server.Close()
	}
}
