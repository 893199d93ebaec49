package process

import (
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// trackedListener is a listener that tracks its open connections from the moment they are accepted.
// It also reports whether connections are pending in the kernel: closing the listener would reset
// them. (DESIGN 11.3)
type trackedListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*trackedConn]bool
}

func newTrackedListener(ln net.Listener) *trackedListener {
	return &trackedListener{Listener: ln, open: map[*trackedConn]bool{}}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// remove removes a connection that has ended from the open connections.
func (l *trackedListener) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// connections returns the open connections, in any order.
func (l *trackedListener) connections() []*trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

// hasPending reports whether the kernel holds connections that have not been accepted yet. A
// connection that is made between this check and the close of the listener is still reset. The
// socket API offers no way to prevent this, so the caller keeps that time as short as possible.
func (l *trackedListener) hasPending() (pending bool) {
	l.withSocket(func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// withSocket calls f with the file descriptor of the listening socket. It does not call f if the
// listener has no socket or is closed.
func (l *trackedListener) withSocket(f func(fd int)) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) { f(int(fd)) }) // fails only on a closed socket, which has no pending connections
}
