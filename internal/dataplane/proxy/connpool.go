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

// backendAddress is a backend instance at its address.
type backendAddress struct{ instance, address string }

// connPool keeps the connections to the backends of this node. A sweeper closes those that are
// of no use any more; it is started with the first idle one. (DESIGN 10.6)
type connPool struct {
	// lifetime is that of the sweeper: when it ends, all idle connections are closed.
	lifetime context.Context
	actors   *actor.System
	// isCurrent reports whether a backend at its address may still be sent something.
	isCurrent func(backendAddress) bool

	mu       sync.Mutex
	entries  map[backendAddress]*poolEntry
	sweeping bool
	closed   bool

	// opened counts the connections that were opened, reused the attempts that were given one
	// that was open already.
	opened, reused atomic.Int64
}

// poolEntry is the connections to one backend. The idle one that was used last stands last.
type poolEntry struct {
	idle  []*backendConn
	inUse int
}

func newConnPool(lifetime context.Context, actors *actor.System, isCurrent func(backendAddress) bool) *connPool {
	return &connPool{lifetime: lifetime, actors: actors, isCurrent: isCurrent, entries: map[backendAddress]*poolEntry{}}
}

// acquire returns a connection to a backend that was idle for less than maxIdle, or a new one.
// Idle ones are closed so that at most maxConnections are open. It must be released.
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

// reserve counts a connection as in use, and returns an idle one if there is a good one.
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

// takeIdle takes the connection that was used last, if it was idle for less than maxIdle. Those
// that are of no use any more are closed on the way.
func (e *poolEntry) takeIdle(maxIdle time.Duration) *backendConn {
	for now := time.Now(); len(e.idle) > 0; {
		conn := e.idle[len(e.idle)-1]
		idleTime := now.Sub(conn.idleSince)
		if idleTime >= maxIdle {
			break // it may do for another attempt
		}
		e.idle = e.idle[:len(e.idle)-1]
		if idleTime < conn.idleTimeout && conn.isQuiet() {
			return conn
		}
		conn.Close()
	}
	return nil
}

// dial opens a connection, in the time until ctx ends.
func (p *connPool) dial(ctx context.Context, address backendAddress) (*backendConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
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

// release takes a connection back, and keeps it if it may be idle and nothing is to be read on
// it. One without a net.Conn stands for one that could not be opened.
func (p *connPool) release(conn *backendConn, maxConnections int) {
	keep := conn.Conn != nil && conn.idleTimeout > 0 && conn.isQuiet()
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

// removeIdle closes the idle connections to a backend that are of no use; p.mu must be held.
func (p *connPool) removeIdle(address backendAddress, useless func(*backendConn) bool) {
	if entry := p.entries[address]; entry != nil {
		entry.idle = slices.DeleteFunc(entry.idle, func(conn *backendConn) bool {
			if !useless(conn) {
				return false
			}
			conn.Close()
			return true
		})
		p.removeIfUnused(address)
	}
}

// removeIfUnused forgets a backend without connections; p.mu must be held.
func (p *connPool) removeIfUnused(address backendAddress) {
	if entry := p.entries[address]; entry != nil && entry.inUse == 0 && len(entry.idle) == 0 {
		delete(p.entries, address)
	}
}

// sweep closes idle connections that are of no use any more, until ctx ends; then all of them.
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

// sweepOnce closes the connections that are idle for too long, that the backend has closed or
// written to, or whose backend takes nothing more.
func (p *connPool) sweepOnce(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.entries {
		current := p.isCurrent(address)
		p.removeIdle(address, func(conn *backendConn) bool {
			return !current || now.Sub(conn.idleSince) >= conn.idleTimeout || !conn.isQuiet()
		})
	}
}

// close closes all idle connections; from now on none is kept.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address := range p.entries {
		p.removeIdle(address, func(*backendConn) bool { return true })
	}
}

// idleCount counts the idle connections.
func (p *connPool) idleCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.entries {
		n += len(entry.idle)
	}
	return n
}
