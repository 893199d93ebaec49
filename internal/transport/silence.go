package transport

import (
	"net"
	"sync/atomic"
	"time"
)

// silence decides whether a peer has been silent for too long. Only looks that come in
// time count: while this process was held up itself, it could not have heard.
// (DESIGN 3.4)
type silence struct {
	silent time.Duration
	looked time.Time
	heard  uint64
}

// begin starts anew.
func (s *silence) begin(now time.Time, heard uint64) {
	*s = silence{looked: now, heard: heard}
}

// look takes how much was heard so far, and tells whether the peer counts as gone.
func (s *silence) look(now time.Time, heard uint64) (gone bool) {
	passed := now.Sub(s.looked)
	s.looked = now
	if heard != s.heard {
		s.heard, s.silent = heard, 0
		return false
	}
	s.silent += min(passed, pingAfter)
	return s.silent >= breakAfter
}

// suspect tells that the peer has left a ping unanswered until the next was due.
func (s *silence) suspect() bool { return s.silent >= 2*pingAfter }

// heardConn counts what is read from a connection, whole frames or not.
type heardConn struct {
	net.Conn
	bytes atomic.Uint64
}

// Read implements net.Conn.
func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}
