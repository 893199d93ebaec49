package transport

import (
	"net"
	"sync/atomic"
	"time"
)

// idleDetector decides whether a peer has been silent for too long. Only looks that come in
// time count: while this process was held up itself, it could not have heard.
// (DESIGN 3.4)
type idleDetector struct {
	idle      time.Duration
	lastCheck time.Time
	bytesRead uint64
}

// reset starts anew.
func (d *idleDetector) reset(now time.Time, bytesRead uint64) {
	*d = idleDetector{lastCheck: now, bytesRead: bytesRead}
}

// check takes how much was heard so far, and tells whether the peer counts as gone.
func (d *idleDetector) check(now time.Time, bytesRead uint64) (timedOut bool) {
	elapsed := now.Sub(d.lastCheck)
	d.lastCheck = now
	if bytesRead != d.bytesRead {
		d.bytesRead, d.idle = bytesRead, 0
		return false
	}
	d.idle += min(elapsed, pingInterval)
	return d.idle >= idleTimeout
}

// suspected tells that the peer has left a ping unanswered until the next was due.
func (d *idleDetector) suspected() bool { return d.idle >= 2*pingInterval }

// countingConn counts what is read from a connection, whole frames or not.
type countingConn struct {
	net.Conn
	bytesRead atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(uint64(n))
	return n, err
}
