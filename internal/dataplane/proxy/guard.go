package proxy

import (
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/dataplane/endpoints"
)

var errShut = eris.New("the gate was shut before the write")

// The states of a guard: it goes once from idle to one of the others, and back from
// written only where not a byte was taken.
const (
	guardIdle int32 = iota
	guardWrote
	guardShut
)

// guard is asked immediately before the first byte goes to a backend.
type guard struct {
	check func() endpoints.Rejection
	state atomic.Int32
	why   atomic.Pointer[endpoints.Rejection]
	// begun tells the writer that a byte was taken.
	begun bool
}

// pass lets the first write through, unless the gate or the attempt is shut.
func (g *guard) pass() bool {
	if g.state.Load() == guardWrote {
		return true
	}
	if why := g.check(); why != endpoints.Admitted {
		g.why.Store(&why)
		return false
	}
	return g.state.CompareAndSwap(guardIdle, guardWrote)
}

// shut ends the attempt. True if nothing was written: then nothing ever will be.
func (g *guard) shut() bool { return g.state.CompareAndSwap(guardIdle, guardShut) }

// wrote tells that a byte may have gone.
func (g *guard) wrote() bool { return g.state.Load() == guardWrote }

// guarded is what an attempt writes to a backend's connection through. (DESIGN 9.2)
type guarded struct {
	conn net.Conn
	g    *guard
}

// Write implements io.Writer. If not a byte of the first write was taken, as on a
// connection that was reset before, nothing has gone, and the gate is asked anew.
func (c guarded) Write(b []byte) (int, error) {
	if !c.g.pass() {
		return 0, errShut
	}
	n, err := c.conn.Write(b)
	if err != nil && n == 0 && !c.g.begun {
		c.g.state.CompareAndSwap(guardWrote, guardIdle)
	}
	c.g.begun = c.g.begun || n > 0
	return n, err
}
