package proxy

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// errHeadTooLarge is the error of a read beyond the read limit, which applies to response heads.
var errHeadTooLarge = eris.New("response head exceeds the size limit")

// backendConn is a connection to a backend. It carries one attempt at a time. Unlike the
// connections of net/http's Transport, it never resends a request automatically. (DESIGN 10.6)
type backendConn struct {
	net.Conn
	address backendAddress
	raw     syscall.RawConn
	reader  *bufio.Reader
	// readLimit is how many more bytes may be read. nextResponse sets it before it reads the head of
	// a response, and lifts it for the body, which readBody limits.
	readLimit int64
	// usedBefore reports whether the connection has carried an attempt before.
	usedBefore bool
	// carriedHead reports whether the connection has carried a HEAD request, whose response may
	// have a Content-Length but has no body.
	carriedHead bool
	// idleSince is when the connection was last used. idleTimeout is how long it may be idle after
	// that. It is zero during an exchange, and if the connection must be closed instead of kept.
	idleSince   time.Time
	idleTimeout time.Duration
}

func newBackendConn(tcp *net.TCPConn, address backendAddress) (*backendConn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &backendConn{Conn: tcp, address: address, raw: raw, idleSince: time.Now(), idleTimeout: maxIdleTime}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// Read implements io.Reader within the read limit.
func (c *backendConn) Read(b []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(b)) > c.readLimit {
		b = b[:c.readLimit]
	}
	n, err := c.Conn.Read(b)
	c.readLimit -= int64(n)
	return n, err
}

// hasNoPendingInput reports whether the backend has neither closed the connection nor sent data
// that has not been read.
func (c *backendConn) hasNoPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	var got error
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, got = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(got, syscall.EAGAIN)
}
