package proxy

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// mostHead bounds what is read of an answer before its body.
const mostHead = 1 << 20 // (ours)

var errHead = eris.New("the answer's head is too large")

// link is a connection of our own to a backend. It carries one attempt at a time, and
// nothing is ever tried again on it by itself. (DESIGN 10.6)
type link struct {
	net.Conn
	at  place
	raw syscall.RawConn
	in  *bufio.Reader
	// left is how much more may be read until it is raised again.
	left int64
	// carried tells that it has carried an attempt before.
	carried bool
	// headed tells that it has carried a HEAD, whose answer has a length and no body.
	headed bool
	// since is when it was last of use, and keep how long it may then be idle.
	since time.Time
	keep  time.Duration
}

func newLink(c *net.TCPConn, at place) (*link, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	l := &link{Conn: c, at: at, raw: raw, since: time.Now(), keep: keepFor}
	l.in = bufio.NewReader(l)
	return l, nil
}

// Read implements io.Reader within what may still be read.
func (l *link) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHead
	}
	if int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.Conn.Read(b)
	l.left -= int64(n)
	return n, err
}

// quiet tells that the backend has neither closed the link nor sent anything that
// nobody has asked for.
func (l *link) quiet() bool {
	if l.in.Buffered() > 0 {
		return false
	}
	var got error
	err := l.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, got = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(got, syscall.EAGAIN)
}
