package transport

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// pingInterval is how often a peer is pinged while calls are pending.
	pingInterval = 500 * time.Millisecond // (ours)
	// idleTimeout is how long a pinged peer may send nothing.
	idleTimeout = 2 * time.Second // (ours)
)

// idleDetector decides whether a peer has sent nothing for too long. Of the time between two
// checks no more counts than one that comes in time would take: while this process was held
// up itself, it could not have received anything. (DESIGN 3.4)
type idleDetector struct {
	idle      time.Duration
	lastCheck time.Time
	bytesRead uint64
}

// reset starts anew, with the bytes read from the peer so far.
func (d *idleDetector) reset(now time.Time, bytesRead uint64) {
	*d = idleDetector{lastCheck: now, bytesRead: bytesRead}
}

// check takes the bytes read so far, and reports whether the peer has timed out.
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

// suspected reports whether the peer left a ping unanswered until the next was due.
func (d *idleDetector) suspected() bool { return d.idle >= 2*pingInterval }

// countingConn counts the bytes read from a connection, whole frames or not.
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
