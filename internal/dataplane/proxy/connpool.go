package proxy

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/dataplane/endpoints"
)

// backendAddress identifies a backend instance at its address.
type backendAddress struct{ instance, address string }

// connPool is the pool of connections to the backends of this node. Its sweeper, a goroutine that
// runs sweep, closes idle connections that can no longer be used. The sweeper starts when the first
// connection becomes idle. (DESIGN 10.6)
type connPool struct {
	// lifetime is the context of the sweeper. When it ends, all idle connections are closed.
	lifetime context.Context
	actors   *actor.System
	// isCurrent reports whether requests may still be sent to a backend at its address.
	isCurrent func(backendAddress) bool

	mu       sync.Mutex
	entries  map[backendAddress]*poolEntry
	sweeping bool
	closed   bool

	// opened counts the connections that were opened. reused counts the attempts that reused an
	// open connection.
	opened, reused atomic.Int64
}

// poolEntry holds the connections to one backend. idle is ordered by the last use, most recent
// last.
type poolEntry struct {
	idle  []*backendConn
	inUse int
}

func newConnPool(lifetime context.Context, actors *actor.System, isCurrent func(backendAddress) bool) *connPool {
	return &connPool{lifetime: lifetime, actors: actors, isCurrent: isCurrent, entries: map[backendAddress]*poolEntry{}}
}

// acquire returns a connection to a backend that was idle for less than maxIdle, or a new one. It
// closes idle connections to keep at most maxConnections open. It does not limit the connections in
// use, which Inbound.ConcurrencyLimit does. The caller must release the connection.
func (p *connPool) acquire(ctx context.Context, e endpoints.Endpoint, maxConnections int, maxIdle time.Duration) (*backendConn, error) {
	address := backendAddress{e.Instance, e.Address}
	if idle := p.reserve(address, maxConnections, maxIdle); idle != nil {
		p.reused.Add(1)
		idle.SetDeadline(deadline(ctx))
		return idle, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		p.release(&backendConn{address: address}, maxConnections)
		return nil, err
	}
	conn.SetDeadline(deadline(ctx))
	return conn, nil
}

// reserve counts a connection as in use, and returns a usable idle connection if there is one.
// Otherwise it closes the least recently used idle connections, if necessary, to make room for a
// new connection.
func (p *connPool) reserve(address backendAddress, maxConnections int, maxIdle time.Duration) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.entries[address]
	if entry == nil {
		entry = &poolEntry{}
		p.entries[address] = entry
	}
	entry.inUse++
	if conn := entry.takeIdle(maxIdle); conn != nil {
		return conn
	}
	for len(entry.idle) > 0 && entry.inUse+len(entry.idle) > maxConnections {
		entry.idle[0].Close()
		entry.idle = entry.idle[1:]
	}
	return nil
}

// takeIdle removes and returns the most recently used idle connection, if it was idle for less than
// maxIdle. It closes connections that can no longer be used.
func (e *poolEntry) takeIdle(maxIdle time.Duration) *backendConn {
	for now := time.Now(); len(e.idle) > 0; {
		conn := e.idle[len(e.idle)-1]
		idleTime := now.Sub(conn.idleSince)
		if idleTime >= maxIdle {
			break // an attempt with a longer maxIdle may still use it
		}
		e.idle = e.idle[:len(e.idle)-1]
		if idleTime < conn.idleTimeout && conn.hasNoPendingInput() {
			return conn
		}
		conn.Close()
	}
	return nil
}

// dial opens a connection. It fails if ctx ends or dialTimeout passes before the connection is open.
func (p *connPool) dial(ctx context.Context, address backendAddress) (*backendConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1} // no TCP keep-alive probes
	tcp, err := dialer.DialContext(ctx, "tcp", address.address)
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	conn, err := newBackendConn(tcp.(*net.TCPConn), address)
	if err != nil {
		tcp.Close()
	}
	return conn, err
}

// release returns a connection to the pool. The pool keeps the connection if it may be idle and
// there is nothing to read on it. A connection without a net.Conn represents one that could not be
// opened.
func (p *connPool) release(conn *backendConn, maxConnections int) {
	keep := conn.Conn != nil && conn.idleTimeout > 0 && conn.hasNoPendingInput()
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.entries[conn.address]
	entry.inUse--
	if keep && !p.closed && entry.inUse+len(entry.idle) < maxConnections {
		entry.idle = append(entry.idle, conn)
		if !p.sweeping {
			p.sweeping = true
			p.actors.Go(p.lifetime, "connection-sweeper", p.sweep)
		}
		return
	}
	if conn.Conn != nil {
		conn.Close()
	}
	p.removeIfUnused(conn.address)
}

// closeIdle closes all idle connections to a backend.
func (p *connPool) closeIdle(address backendAddress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeIdle(address, func(*backendConn) bool { return true })
}

// removeIdle closes the idle connections to a backend for which shouldClose returns true. The
// caller must hold p.mu.
func (p *connPool) removeIdle(address backendAddress, shouldClose func(*backendConn) bool) {
	if entry := p.entries[address]; entry != nil {
		entry.idle = slices.DeleteFunc(entry.idle, func(conn *backendConn) bool {
			if !shouldClose(conn) {
				return false
			}
			conn.Close()
			return true
		})
		p.removeIfUnused(address)
	}
}

// removeIfUnused removes the entry of a backend without connections. The caller must hold p.mu.
func (p *connPool) removeIfUnused(address backendAddress) {
	if entry := p.entries[address]; entry != nil && entry.inUse == 0 && len(entry.idle) == 0 {
		delete(p.entries, address)
	}
}

// sweep periodically closes idle connections that can no longer be used. When ctx ends, it closes
// all of them.
func (p *connPool) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.close()
			return
		case now := <-ticker.C:
			p.sweepOnce(now)
		}
	}
}

// sweepOnce closes the idle connections that have exceeded their idle timeout, that the backend has
// closed or written to, or whose backend accepts no more requests.
func (p *connPool) sweepOnce(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.entries {
		current := p.isCurrent(address)
		p.removeIdle(address, func(conn *backendConn) bool {
			return !current || now.Sub(conn.idleSince) >= conn.idleTimeout || !conn.hasNoPendingInput()
		})
	}
}

// close closes all idle connections. The pool keeps no connection after that.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address := range p.entries {
		p.removeIdle(address, func(*backendConn) bool { return true })
	}
}

// idleCount returns the number of idle connections.
func (p *connPool) idleCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.entries {
		n += len(entry.idle)
	}
	return n
}
