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

// farewellLimit is how long a connection that was said farewell on may take to end.
const farewellLimit = 500 * time.Millisecond // (ours)

// errFarewell tells a writer that the client got the farewell as its answer.
var errFarewell = errors.New("the client was told that the node is stopping")

// clientConnection is one client's connection. A farewell can be said on it while it is
// idle, in one step with what the client may be sending just then: either the request
// was read first, and is answered; or the farewell stands, is its answer, and the request
// is never run. (DESIGN 11.3)
type clientConnection struct {
	net.Conn
	mu      sync.Mutex
	busy    bool // something was read since it was idle
	leaving bool // the farewell was said
}

// Read implements net.Conn.
func (c *clientConnection) Read(b []byte) (int, error) {
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
func (c *clientConnection) noteRead(n int) (leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.busy || n > 0
	return c.leaving
}

// Write implements net.Conn.
func (c *clientConnection) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return 0, errFarewell
	}
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn. The farewell's own deadline stays.
func (c *clientConnection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// begin takes that a request which was read is about to run; false if the farewell was
// its answer. A client may send requests behind one another, so that the next is read
// before the one before is answered.
func (c *clientConnection) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return !c.leaving
}

// idle notes that all that was begun is answered.
func (c *clientConnection) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// sayFarewell answers whatever the client may be sending, if the connection is idle.
func (c *clientConnection) sayFarewell(farewell []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.leaving {
		return
	}
	c.leaving = true
	c.Conn.SetDeadline(time.Now().Add(farewellLimit))
	c.Conn.Write(farewell)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// connectionKey finds a request's clientConnection in its context.
type connectionKey struct{}

// withConnection puts a connection into the context of its requests.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// unlessLeft runs requests by h, but for those whose answer was the farewell.
func unlessLeft(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*clientConnection); ok && !c.begin() {
			panic(http.ErrAbortHandler) // ends the connection, which has its answer
		}
		h.ServeHTTP(w, r)
	})
}
