package proxy

import (
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/dataplane/endpoints"
)

var errGuardClosed = eris.New("the gate was shut before the write")

// The states of a guard: it goes once from idle to one of the others, and back from
// written only where not a byte was taken.
const (
	guardOpen int32 = iota
	guardWritten
	guardClosed
)

// writeGuard is asked immediately before the first byte goes to a backend.
type writeGuard struct {
	check   func() endpoints.Rejection
	state   atomic.Int32
	refusal atomic.Pointer[endpoints.Rejection]
	// bytesWritten tells the writer that a byte was taken.
	bytesWritten bool
}

// allowWrite lets the first write through, unless the gate or the attempt is shut.
func (g *writeGuard) allowWrite() bool {
	if g.state.Load() == guardWritten {
		return true
	}
	if why := g.check(); why != endpoints.Admitted {
		g.refusal.Store(&why)
		return false
	}
	return g.state.CompareAndSwap(guardOpen, guardWritten)
}

// close ends the attempt. True if nothing was written: then nothing ever will be.
func (g *writeGuard) close() bool { return g.state.CompareAndSwap(guardOpen, guardClosed) }

// written tells that a byte may have gone.
func (g *writeGuard) written() bool { return g.state.Load() == guardWritten }

// guardedWriter is what an attempt writes to a backend's connection through. (DESIGN 9.2)
type guardedWriter struct {
	conn  net.Conn
	guard *writeGuard
}

// Write implements io.Writer. If not a byte of the first write was taken, as on a
// connection that was reset before, nothing has gone, and the gate is asked anew.
func (c guardedWriter) Write(b []byte) (int, error) {
	if !c.guard.allowWrite() {
		return 0, errGuardClosed
	}
	n, err := c.conn.Write(b)
	if err != nil && n == 0 && !c.guard.bytesWritten {
		c.guard.state.CompareAndSwap(guardWritten, guardOpen)
	}
	c.guard.bytesWritten = c.guard.bytesWritten || n > 0
	return n, err
}
