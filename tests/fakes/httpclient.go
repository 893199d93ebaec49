package fakes

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// NewHTTPClient returns the HTTP client of the fakes. Its connections count the bytes written to
// them. net/http resends some requests on another connection by itself, and only the byte count
// shows whether any part of the first attempt was sent.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64}, Timeout: 30 * time.Second}
}

// dial opens a connection that counts the bytes written to it.
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

// connectionCounter counts the connections on which a request was sent, in full or in part.
type connectionCounter struct {
	used          int
	current       *countingConn // connection of the newest attempt, not yet counted in used
	writtenBefore int64         // bytes written to current before this request
}

// gotConn implements httptrace.ClientTrace.GotConn. net/http calls it with each connection on
// which it attempts the request.
func (c *connectionCounter) gotConn(info httptrace.GotConnInfo) {
	c.count()
	c.current = info.Conn.(*countingConn)
	c.writtenBefore = c.current.written.Load()
}

// count returns the number of connections used so far. The newest attempt must have ended.
func (c *connectionCounter) count() int {
	if c.current != nil && c.current.written.Load() > c.writtenBefore {
		c.used++
	}
	c.current = nil
	return c.used
}
