package process

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// trackedListener is a listener that knows its open connections, from the moment they are
// accepted on, and that can be closed without resetting what the kernel has taken on for
// it. (DESIGN 11.3)
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

// remove takes that a connection has ended.
func (l *trackedListener) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// connections lists the open ones.
func (l *trackedListener) connections() []*trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*trackedConn, 0, len(l.open))
	for c := range l.open {
		list = append(list, c)
	}
	return list
}

// hasPending tells whether the kernel holds connections that were not accepted yet. One that
// is made between this look and the close of the listener is still reset: nothing on a
// socket ends that span, it is only as short as can be.
func (l *trackedListener) hasPending() (yes bool) {
	l.withSocket(func(fd int) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(look, 0)
		yes = err == nil && n > 0
	})
	return yes
}

// withSocket runs f on the listening socket, if there is one.
func (l *trackedListener) withSocket(f func(fd int)) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // a closed one has nothing pending
}
