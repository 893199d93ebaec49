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

// backendAddress is where a backend stands.
type backendAddress struct{ instance, address string }

// connPool keeps the connections to the own backends. It is a table that each attempt looks
// at for a moment; one sweeper closes what nobody wants any more. (DESIGN 10.6)
type connPool struct {
	lifetime context.Context
	launcher *actor.System
	// isCurrent tells whether a backend may still be sent something there.
	isCurrent func(backendAddress) bool

	mu       sync.Mutex
	entries  map[backendAddress]*poolEntry
	sweeping bool
	closed   bool

	opened, reused atomic.Int64
}

// poolEntry is what there is at one backend. The newest idle link stands last.
type poolEntry struct {
	idle  []*backendConn
	inUse int
}

func newConnPool(life context.Context, actors *actor.System, stands func(backendAddress) bool) *connPool {
	return &connPool{lifetime: life, launcher: actors, isCurrent: stands, entries: map[backendAddress]*poolEntry{}}
}

// acquire gives a link to a backend, of which at most so many are open at a time: one
// that was idle for less than so long, or a fresh one.
func (p *connPool) acquire(ctx context.Context, e endpoints.Endpoint, most int, idle time.Duration) (*backendConn, error) {
	at := backendAddress{e.Instance, e.Address}
	old := p.reserve(at, most, idle)
	if old != nil {
		p.reused.Add(1)
		old.SetDeadline(deadline(ctx))
		return old, nil
	}
	conn, err := p.dial(ctx, at)
	if err != nil {
		p.release(&backendConn{address: at}, most)
		return nil, err
	}
	conn.SetDeadline(deadline(ctx))
	return conn, nil
}

// reserve takes a place at a backend, with an idle link if there is a good one.
func (p *connPool) reserve(at backendAddress, most int, idle time.Duration) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.entries[at]
	if s == nil {
		s = &poolEntry{}
		p.entries[at] = s
	}
	s.inUse++
	for now := time.Now(); len(s.idle) > 0; {
		conn := s.idle[len(s.idle)-1]
		age := now.Sub(conn.idleSince)
		if age >= idle {
			break // it may do for another attempt
		}
		s.idle = s.idle[:len(s.idle)-1]
		if age < conn.idleTimeout && conn.isQuiet() {
			return conn
		}
		conn.Close()
	}
	for len(s.idle) > 0 && s.inUse+len(s.idle) > most {
		s.idle[0].Close()
		s.idle = s.idle[1:]
	}
	return nil
}

// dial opens a connection for an attempt, within the attempt's time.
func (p *connPool) dial(ctx context.Context, at backendAddress) (*backendConn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", at.address)
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	conn, err := newBackendConn(c.(*net.TCPConn), at)
	if err != nil {
		c.Close()
	}
	return conn, err
}

// release takes a link back: to be kept, if it may be and nothing is to be read on it.
func (p *connPool) release(conn *backendConn, most int) {
	keep := conn.Conn != nil && conn.idleTimeout > 0 && conn.isQuiet()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.entries[conn.address]
	s.inUse--
	if keep && !p.closed && s.inUse+len(s.idle) < most {
		s.idle = append(s.idle, conn)
		if !p.sweeping {
			p.sweeping = true
			p.launcher.Go(p.lifetime, "links", p.sweep)
		}
		return
	}
	if conn.Conn != nil {
		conn.Close()
	}
	p.removeIfUnused(conn.address)
}

// closeIdle closes all idle links to a place.
func (p *connPool) closeIdle(at backendAddress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeIdle(at, func(*backendConn) bool { return true })
}

// removeIdle closes the idle links of a place that are bad.
func (p *connPool) removeIdle(at backendAddress, bad func(*backendConn) bool) {
	if s := p.entries[at]; s != nil {
		s.idle = slices.DeleteFunc(s.idle, func(conn *backendConn) bool {
			if !bad(conn) {
				return false
			}
			conn.Close()
			return true
		})
		p.removeIfUnused(at)
	}
}

func (p *connPool) removeIfUnused(at backendAddress) {
	if s := p.entries[at]; s != nil && s.inUse == 0 && len(s.idle) == 0 {
		delete(p.entries, at)
	}
}

// sweep closes what is idle too long, what the backend has closed or written to, and
// what leads to a backend that takes nothing more, until life ends.
func (p *connPool) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			p.closed = true
			for at := range p.entries {
				p.removeIdle(at, func(*backendConn) bool { return true })
			}
			return
		case now := <-tick.C:
			p.sweepOnce(now)
		}
	}
}

// sweepOnce looks at all idle links once.
func (p *connPool) sweepOnce(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at := range p.entries {
		gone := !p.isCurrent(at)
		p.removeIdle(at, func(conn *backendConn) bool {
			return gone || now.Sub(conn.idleSince) >= conn.idleTimeout || !conn.isQuiet()
		})
	}
}

// idleCount counts the links that nobody uses.
func (p *connPool) idleCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.entries {
		n += len(s.idle)
	}
	return n
}
