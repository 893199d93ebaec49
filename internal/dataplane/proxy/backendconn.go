package proxy

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// maxHeadSize bounds what is read of an answer before its body.
const maxHeadSize = 1 << 20 // (ours)

var errHeadTooLarge = eris.New("the answer's head is too large")

// backendConn is a connection of our own to a backend. It carries one attempt at a time, and
// nothing is ever tried again on it by itself. (DESIGN 10.6)
type backendConn struct {
	net.Conn
	address backendAddress
	raw     syscall.RawConn
	reader  *bufio.Reader
	// readLimit is how much more may be read until it is raised again.
	readLimit int64
	// usedBefore tells that it has carried an attempt before.
	usedBefore bool
	// carriedHead tells that it has carried a HEAD, whose answer has a length and no body.
	carriedHead bool
	// idleSince is when it was last of use, and keep how long it may then be idle.
	idleSince   time.Time
	idleTimeout time.Duration
}

func newBackendConn(c *net.TCPConn, at backendAddress) (*backendConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	conn := &backendConn{Conn: c, address: at, raw: raw, idleSince: time.Now(), idleTimeout: maxIdleTime}
	conn.reader = bufio.NewReader(conn)
	return conn, nil
}

// Read implements io.Reader within what may still be read.
func (conn *backendConn) Read(b []byte) (int, error) {
	if conn.readLimit <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(b)) > conn.readLimit {
		b = b[:conn.readLimit]
	}
	n, err := conn.Conn.Read(b)
	conn.readLimit -= int64(n)
	return n, err
}

// isQuiet tells that the backend has neither closed the link nor sent anything that
// nobody has asked for.
func (conn *backendConn) isQuiet() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	var got error
	err := conn.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, got = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(got, syscall.EAGAIN)
}
