package process

import (
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// trackedListener is a listener that knows its open connections, from the moment that they are
// accepted, and whether the kernel holds more of them: closing the listener would reset those.
// (DESIGN 11.3)
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

// remove forgets a connection that has ended.
func (l *trackedListener) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// connections lists the open connections.
func (l *trackedListener) connections() []*trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

// hasPending tells whether the kernel holds connections that were not accepted yet. One that is
// made between this check and the close of the listener is still reset: a socket has no means
// against that, so the time between is kept as short as possible.
func (l *trackedListener) hasPending() (pending bool) {
	l.withSocket(func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// withSocket calls f with the listening socket, if there is one.
func (l *trackedListener) withSocket(f func(fd int)) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) { f(int(fd)) }) // a closed one has nothing pending
}
