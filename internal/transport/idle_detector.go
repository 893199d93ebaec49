package transport

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// pingInterval is the interval between pings while calls are pending.
	pingInterval = 500 * time.Millisecond
	// idleTimeout is how long a pinged peer may send nothing before it has timed out.
	idleTimeout = 2 * time.Second
)

// idleDetector detects a peer that has sent nothing for idleTimeout. It counts at most
// pingInterval of the time between two checks: a late check means that this process itself was
// delayed, and it could not have received anything during the delay. (DESIGN 3.4)
type idleDetector struct {
	idle      time.Duration
	lastCheck time.Time
	bytesRead uint64
}

// reset sets the idle time to zero. bytesRead is the number of bytes read from the peer so far.
func (d *idleDetector) reset(now time.Time, bytesRead uint64) {
	*d = idleDetector{lastCheck: now, bytesRead: bytesRead}
}

// check updates the idle time and reports whether the peer has timed out. bytesRead is the
// number of bytes read from the peer so far.
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

// suspected reports whether the peer sent nothing for two ping intervals. The first ping is sent
// after one interval, so the peer did not answer it before the next one was due.
func (d *idleDetector) suspected() bool { return d.idle >= 2*pingInterval }

// countingConn counts the bytes read from a connection, including those of incomplete frames.
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
