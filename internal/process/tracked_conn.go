package process

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// closingTimeout is how long the client may take to close a connection after the closing response.
const closingTimeout = 500 * time.Millisecond

// errClosing is returned by Write after the closing response was sent.
var errClosing = errors.New("connection is closing: closing response already sent")

// trackedConn is a connection of a client on which a closing response can be sent while it is idle.
// Sending it is atomic with respect to a request that the client may be sending at the same time.
// If the request is read first, it gets its own response. If the closing response is sent first, it
// is the response to the request, and the request is never run. (DESIGN 11.3)
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	busy    bool // bytes were read since the connection was last idle
	closing bool // the closing response was sent
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.observeRead(n) {
		return n, err
	}
	// Read and discard the rest of the input, so that the client's writes do not fail before the
	// client has read the closing response.
	for err == nil {
		_, err = c.Conn.Read(b)
	}
	return 0, io.EOF
}

// observeRead records that n bytes were read, and reports whether the closing response was sent.
func (c *trackedConn) observeRead(n int) (closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.busy || n > 0
	return c.closing
}

// Write implements net.Conn. It holds mu while it writes, so closeIfIdle blocks until it returns.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, errClosing
	}
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn. It has no effect after the closing response was sent, so that
// the deadline of closingTimeout stays in force.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// beginRequest marks the connection as busy and reports whether the request may run. The request
// must not run if the closing response was already sent in answer to it. observeRead alone is not
// enough, because a client may pipeline requests. The next request may then be read before the
// previous one has its response, and markIdle clears the busy flag after that response.
func (c *trackedConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return !c.closing
}

// markIdle records that all requests that have begun have their responses.
func (c *trackedConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// closeIfIdle sends the closing response and closes the connection for writing, if the connection is
// idle.
func (c *trackedConn) closeIfIdle(closingResponse []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closing {
		return
	}
	c.closing = true
	c.Conn.SetDeadline(time.Now().Add(closingTimeout))
	c.Conn.Write(closingResponse)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// connContextKey is the context key of the trackedConn of a request.
type connContextKey struct{}

// withTrackedConn returns a context for the requests of a connection that contains the connection.
func withTrackedConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// rejectAfterClosing returns a handler that passes requests to h, except those that were already
// answered with the closing response.
func rejectAfterClosing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connContextKey{}).(*trackedConn); ok && !c.beginRequest() {
			panic(http.ErrAbortHandler) // closes the connection; its response was already sent
		}
		h.ServeHTTP(w, r)
	})
}
