package transport

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/trace"
)

const (
	pingAfter  = 500 * time.Millisecond // (ours)
	breakAfter = 2 * time.Second        // (ours)
	// writeLimit is how long a chunk of a frame may wait to be taken.
	writeLimit = 5 * time.Second // (ours)
)

// Connection is the calling side of one TCP connection: many calls at a time,
// each matched to its response by number. (DESIGN 3.2)
type Connection struct {
	conn  *heardConn
	far   Greeting
	count *Counts
	calls chan *call
	in    chan inbound
	done  chan struct{}
	// launch starts what writes a long frame.
	launch func(name string, run func())
}

type call struct {
	id    uint64
	span  trace.Span
	kind  string
	body  msgpack.RawMessage
	reply chan Response
	// elsewhere says that its caller would rather turn elsewhere than wait for a peer
	// that is suspected.
	elsewhere bool
	// givenUp is set once its caller no longer waits.
	givenUp atomic.Bool
}

type inbound struct {
	span   trace.Span
	traced bool
	msg    message
	bytes  int
	err    error
}

// Dial opens a connection and exchanges greetings.
func Dial(ctx context.Context, l *actor.Launcher, from net.IP, addr string, own Greeting) (*Connection, error) {
	return dial(ctx, l, from, addr, own, &Counts{})
}

func dial(ctx context.Context, l *actor.Launcher, from net.IP, addr string, own Greeting, count *Counts) (*Connection, error) {
	d := net.Dialer{Timeout: time.Second}
	if from != nil {
		d.LocalAddr = &net.TCPAddr{IP: from}
	}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	conn := &heardConn{Conn: raw}
	c := &Connection{conn: conn, count: count, calls: make(chan *call), in: make(chan inbound, 16), done: make(chan struct{})}
	r := bufio.NewReader(conn)
	if c.far, err = exchange(conn, r, own, count.call, count.response); err != nil {
		conn.Close()
		return nil, err
	}
	life := context.WithoutCancel(ctx)
	c.launch = func(name string, run func()) { l.Go(life, name, func(context.Context) { run() }) }
	l.Go(life, "circuit-read", func(context.Context) { c.read(r) })
	l.Go(life, "circuit", func(context.Context) { c.run() })
	return c, nil
}

// exchange sends the own greeting and reads the other's; sent and came count them.
func exchange(conn net.Conn, r *bufio.Reader, own Greeting, sent, came func(kind string, bytes int)) (Greeting, error) {
	var far Greeting
	conn.SetDeadline(time.Now().Add(time.Second))
	defer conn.SetDeadline(time.Time{})
	raw, err := msgpack.Marshal(&own)
	if err != nil {
		return far, err
	}
	if _, err := conn.Write(sealFrame(append(make([]byte, headLen), raw...))); err != nil {
		return far, eris.Wrap(err, "greet")
	}
	sent(kindGreeting, headLen+len(raw))
	b, err := readFrame(r, maxGreeting)
	if err != nil {
		return far, eris.Wrap(err, "read greeting")
	}
	came(kindGreeting, headLen+len(b))
	return far, eris.Wrap(Unpack(b, &far), "greeting")
}

// Far is whom the connection reached.
func (c *Connection) Far() Greeting { return c.far }

// Broken is closed when the connection has ended.
func (c *Connection) Broken() <-chan struct{} { return c.done }

// Close ends the connection; calls still open are lost.
func (c *Connection) Close() { c.conn.Close() }

// Call sends body and waits for the response or for ctx. The span in ctx's slot
// goes at the start of the message.
func (c *Connection) Call(ctx context.Context, kind string, body any) Response {
	return c.call(ctx, ctx, kind, body, false)
}

// call is Call, with a bound of its own on how long the connection may take to begin with
// it: until then it is surely unsent.
func (c *Connection) call(ctx, begin context.Context, kind string, body any, elsewhere bool) Response {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return Response{Fate: Unsent, Fault: err.Error()}
	}
	s, _ := trace.SpanFromContext(ctx)
	k := &call{span: s, kind: kind, body: raw, elsewhere: elsewhere, reply: make(chan Response, 1)}
	select {
	case c.calls <- k:
	case <-c.done:
		return Response{Fate: Unsent}
	case <-begin.Done():
		return Response{Fate: Unsent}
	}
	select {
	case r := <-k.reply:
		return r
	case <-ctx.Done():
		// The connection is not waited for: it may be held up by its peer.
		k.givenUp.Store(true)
		return Response{Fate: Lost}
	}
}

func (c *Connection) read(r *bufio.Reader) {
	for {
		var in inbound
		b, err := readFrame(r, MaxFrame)
		if err == nil {
			in.span, in.traced, in.msg, err = decode(b)
			in.bytes = headLen + len(b)
		}
		in.err = err
		select {
		case c.in <- in:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// run owns the open calls. Nothing is written but on its word, one frame at a time.
func (c *Connection) run() {
	calls := newOpenCalls(c)
	defer calls.end()
	for calls.step() {
	}
}
