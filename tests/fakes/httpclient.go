package fakes

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// NewHTTPClient makes a client for stand-ins. Its connections count what is written
// to them: net/http by itself sends some requests again on another connection,
// and only the count reports whether anything of the first try went out.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64}, Timeout: 30 * time.Second}
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c}, nil
}

// countingConn is a connection that counts what is written to it.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// connectionCounter counts on how many connections a request went out, wholly or in part.
type connectionCounter struct {
	used          int
	current       *countingConn // the newest, until it is counted
	writtenBefore int64         // what had been written to it before
}

// gotConn is told of each connection that net/http takes for the request.
func (c *connectionCounter) gotConn(i httptrace.GotConnInfo) {
	c.count()
	c.current = i.Conn.(*countingConn)
	c.writtenBefore = c.current.written.Load()
}

// count tells the number so far, once the newest try is over.
func (c *connectionCounter) count() int {
	if c.current != nil && c.current.written.Load() > c.writtenBefore {
		c.used++
	}
	c.current = nil
	return c.used
}
