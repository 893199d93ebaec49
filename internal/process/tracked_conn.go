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

// closingTimeout is how long a connection that was said farewell on may take to end.
const closingTimeout = 500 * time.Millisecond // (ours)

// errClosing tells a writer that the client got the farewell as its answer.
var errClosing = errors.New("the client was told that the node is stopping")

// trackedConn is one client's connection. A farewell can be said on it while it is
// idle, in one step with what the client may be sending just then: either the request
// was read first, and is answered; or the farewell stands, is its answer, and the request
// is never run. (DESIGN 11.3)
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	busy    bool // something was read since it was idle
	closing bool // the farewell was said
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.noteRead(n) {
		return n, err
	}
	// What still comes is not taken, but let in, so that the client's writing does
	// not break before it has read the farewell.
	for err == nil {
		_, err = c.Conn.Read(b)
	}
	return 0, io.EOF
}

// noteRead takes that so many bytes were read, and tells whether the farewell was said.
func (c *trackedConn) noteRead(n int) (leaving bool) {
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

// SetReadDeadline implements net.Conn. The farewell's own deadline stays.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// beginRequest takes that a request which was read is about to run; false if the farewell was
// its answer. A client may send requests behind one another, so that the next is read
// before the one before is answered.
func (c *trackedConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return !c.closing
}

// markIdle notes that all that was begun is answered.
func (c *trackedConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// closeIfIdle answers whatever the client may be sending, if the connection is idle.
func (c *trackedConn) closeIfIdle(farewell []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closing {
		return
	}
	c.closing = true
	c.Conn.SetDeadline(time.Now().Add(closingTimeout))
	c.Conn.Write(farewell)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// connectionKey finds a request's clientConnection in its context.
type connectionKey struct{}

// withTrackedConn puts a connection into the context of its requests.
func withTrackedConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// rejectAfterClosing runs requests by h, but for those whose answer was the farewell.
func rejectAfterClosing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*trackedConn); ok && !c.beginRequest() {
			panic(http.ErrAbortHandler) // ends the connection, which has its answer
		}
		h.ServeHTTP(w, r)
	})
}
