package fakes

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// NewClient makes a client for stand-ins. Its connections count what is written
// to them: net/http by itself sends some requests again on another connection,
// and only the count tells whether anything of the first try went out.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64}, Timeout: 30 * time.Second}
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &counted{Conn: c}, nil
}

// counted is a connection that counts what is written to it.
type counted struct {
	net.Conn
	written atomic.Int64
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// sendings counts on how many connections a request went out, wholly or in part.
type sendings struct {
	n    int
	conn *counted // the newest, until it is counted
	from int64    // what had been written to it before
}

// on is told of each connection that net/http takes for the request.
func (s *sendings) on(i httptrace.GotConnInfo) {
	s.count()
	s.conn = i.Conn.(*counted)
	s.from = s.conn.written.Load()
}

// count tells the number so far, once the newest try is over.
func (s *sendings) count() int {
	if s.conn != nil && s.conn.written.Load() > s.from {
		s.n++
	}
	s.conn = nil
	return s.n
}
