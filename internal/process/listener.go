package process

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// clientListener is a listener that knows its open connections, from the moment they are
// accepted on, and that can be closed without resetting what the kernel has taken on for
// it. (DESIGN 11.3)
type clientListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*clientConnection]bool
}

func newClientListener(ln net.Listener) *clientListener {
	return &clientListener{Listener: ln, open: map[*clientConnection]bool{}}
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConnection{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// forget takes that a connection has ended.
func (l *clientListener) forget(c *clientConnection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// connections lists the open ones.
func (l *clientListener) connections() []*clientConnection {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*clientConnection, 0, len(l.open))
	for c := range l.open {
		list = append(list, c)
	}
	return list
}

// pending tells whether the kernel holds connections that were not accepted yet. One that
// is made between this look and the close of the listener is still reset: nothing on a
// socket ends that span, it is only as short as can be.
func (l *clientListener) pending() (yes bool) {
	l.control(func(fd int) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(look, 0)
		yes = err == nil && n > 0
	})
	return yes
}

// control runs f on the listening socket, if there is one.
func (l *clientListener) control(f func(fd int)) {
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
