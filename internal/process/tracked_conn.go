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
const closingTimeout = 500 * time.Millisecond // (ours)

// errClosing tells a handler that its client was already sent the closing response.
var errClosing = errors.New("the client was sent the closing response")

// trackedConn is a client's connection. It can be sent a closing response while it is idle, atomically
// with what the client may be sending just then: either the request is read first, and gets its own
// response; or the closing response is sent first, is the response, and the request is never run.
// (DESIGN 11.3)
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	busy    bool // something was read since it was idle
	closing bool // the closing response was sent
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.observeRead(n) {
		return n, err
	}
	// What still comes is read and dropped, so that the client's writing does not fail before it
	// has read the closing response.
	for err == nil {
		_, err = c.Conn.Read(b)
	}
	return 0, io.EOF
}

// observeRead records that n bytes were read, and tells whether the closing response was sent.
func (c *trackedConn) observeRead(n int) (closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.busy || n > 0
	return c.closing
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, errClosing
	}
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn. The closing response's own deadline stays.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// beginRequest records that a request which was read is about to run; false if the closing response
// was its response. A client may pipeline requests, so that the next one is read before the one
// before it has its response.
func (c *trackedConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return !c.closing
}

// markIdle records that all requests that were begun have their responses.
func (c *trackedConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// closeIfIdle sends the closing response, if the connection is idle, and closes it for writing.
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

// connContextKey is the key of a request's trackedConn in its context.
type connContextKey struct{}

// withTrackedConn puts a connection into the context of its requests.
func withTrackedConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// rejectAfterClosing runs requests by h, except those whose response was the closing response.
func rejectAfterClosing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connContextKey{}).(*trackedConn); ok && !c.beginRequest() {
			panic(http.ErrAbortHandler) // ends the connection, which has its response
		}
		h.ServeHTTP(w, r)
	})
}
