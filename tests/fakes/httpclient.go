package fakes

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// NewHTTPClient makes the HTTP client of the fakes. Its connections count what is written to
// them: net/http sends some requests again on another connection by itself, and only the count
// shows whether anything of the first attempt was sent.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64}, Timeout: 30 * time.Second}
}

// dial opens a connection that counts.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c}, nil
}

// countingConn is a connection that counts the bytes written to it.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// connectionCounter counts on how many connections a request was sent, in full or in part.
type connectionCounter struct {
	used          int
	current       *countingConn // not counted yet
	writtenBefore int64         // to current, before this request
}

// gotConn is called with each connection that net/http uses for the request.
func (c *connectionCounter) gotConn(i httptrace.GotConnInfo) {
	c.count()
	c.current = i.Conn.(*countingConn)
	c.writtenBefore = c.current.written.Load()
}

// count returns the number so far; the newest attempt must be over.
func (c *connectionCounter) count() int {
	if c.current != nil && c.current.written.Load() > c.writtenBefore {
		c.used++
	}
	c.current = nil
	return c.used
}
