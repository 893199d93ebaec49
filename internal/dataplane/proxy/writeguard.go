package proxy

import (
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/dataplane/endpoints"
)

// errGuardClosed is the error of a write that the guard did not allow.
var errGuardClosed = eris.New("attempt is no longer admitted and was not written")

// The states of a writeGuard. The state changes once from open to written or closed. It changes
// back from written to open only if no byte was written.
const (
	guardOpen int32 = iota
	guardWritten
	guardClosed
)

// writeGuard decides, once for each attempt, whether the attempt's first byte is written to a
// backend or never will be. The first of allowWrite and close decides.
type writeGuard struct {
	// check reports, before the first byte, whether the attempt is still admitted.
	check func() refusal
	state atomic.Int32
	// refusal is the last refusal that check returned, or nil.
	refusal atomic.Pointer[refusal]
	// bytesWritten reports whether any byte was written. Only the writing goroutine uses it.
	bytesWritten bool
}

// allowWrite reports whether a byte may be written. The first byte may be written if the attempt is
// still admitted and the guard is not closed. All later bytes may be written.
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

// close closes the guard. It reports whether no byte was or will be written.
func (g *writeGuard) close() bool { return g.state.CompareAndSwap(guardOpen, guardClosed) }

// written reports whether a byte may have been written.
func (g *writeGuard) written() bool { return g.state.Load() == guardWritten }

// guardedWriter writes an attempt to a backend's connection if the guard allows it. (DESIGN 9.2)
type guardedWriter struct {
	conn  net.Conn
	guard *writeGuard
}

// Write implements io.Writer. If the first write fails without writing a byte, as on a connection
// that the backend reset earlier, nothing has been sent, and Write sets the guard back to open.
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
