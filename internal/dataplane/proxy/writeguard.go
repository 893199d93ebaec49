package proxy

import (
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/dataplane/endpoints"
)

// errGuardClosed is the error of a write that the guard has not allowed.
var errGuardClosed = eris.New("the attempt must not be written")

// The states of a writeGuard. It goes once from open to one of the others, and back from written
// to open only if no byte was taken.
const (
	guardOpen int32 = iota
	guardWritten
	guardClosed
)

// writeGuard decides once for an attempt whether its first byte is written to a backend or never
// will be, whichever of allowWrite and close comes first.
type writeGuard struct {
	// check is asked before the first byte whether the attempt is still admitted.
	check func() refusal
	state atomic.Int32
	// refusal is the last one of check, if there was one.
	refusal atomic.Pointer[refusal]
	// bytesWritten tells that a byte was taken. It is the writer's own.
	bytesWritten bool
}

// allowWrite reports whether a byte may be written. The first one may if the attempt is still
// admitted and the guard is not closed; all that follow may.
func (g *writeGuard) allowWrite() bool {
	if g.state.Load() == guardWritten {
		return true
	}
	if refusal := g.check(); refusal.rejection != endpoints.Admitted {
		g.refusal.Store(&refusal)
		return false
	}
	return g.state.CompareAndSwap(guardOpen, guardWritten)
}

// close closes the guard, and reports whether that proves that no byte was or will be written.
func (g *writeGuard) close() bool { return g.state.CompareAndSwap(guardOpen, guardClosed) }

// written tells that a byte may have been written.
func (g *writeGuard) written() bool { return g.state.Load() == guardWritten }

// guardedWriter writes an attempt to a backend's connection, as its guard allows. (DESIGN 9.2)
type guardedWriter struct {
	conn  net.Conn
	guard *writeGuard
}

// Write implements io.Writer. If no byte of the first write was taken, as on a connection that
// the backend has reset before, nothing has been sent, and the guard opens again.
func (w guardedWriter) Write(b []byte) (int, error) {
	if !w.guard.allowWrite() {
		return 0, errGuardClosed
	}
	n, err := w.conn.Write(b)
	if err != nil && n == 0 && !w.guard.bytesWritten {
		w.guard.state.CompareAndSwap(guardWritten, guardOpen)
	}
	w.guard.bytesWritten = w.guard.bytesWritten || n > 0
	return n, err
}
