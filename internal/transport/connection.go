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
	pingInterval = 500 * time.Millisecond // (ours)
	idleTimeout  = 2 * time.Second        // (ours)
	// writeTimeout is how long a chunk of a frame may wait to be taken.
	writeTimeout = 5 * time.Second // (ours)
)

// Connection is the calling side of one TCP connection: many calls at a time,
// each matched to its response by number. (DESIGN 3.2)
type Connection struct {
	conn     *countingConn
	peer     Hello
	counters *Counters
	calls    chan *pendingCall
	inbound  chan inboundMessage
	done     chan struct{}
	// spawn starts what writes a long frame.
	spawn func(name string, run func())
}

type pendingCall struct {
	id       uint64
	span     trace.Span
	kind     string
	body     msgpack.RawMessage
	response chan Response
	// failFast says that its caller would rather turn elsewhere than wait for a peer
	// that is suspected.
	failFast bool
	// abandoned is set once its caller no longer waits.
	abandoned atomic.Bool
}

type inboundMessage struct {
	span    trace.Span
	traced  bool
	message message
	bytes   int
	err     error
}

// Dial opens a connection and exchanges greetings.
func Dial(ctx context.Context, actors *actor.System, localIP net.IP, addr string, hello Hello) (*Connection, error) {
	return dial(ctx, actors, localIP, addr, hello, &Counters{})
}

func dial(ctx context.Context, actors *actor.System, localIP net.IP, addr string, hello Hello, counters *Counters) (*Connection, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	conn := &countingConn{Conn: raw}
	connection := &Connection{conn: conn, counters: counters, calls: make(chan *pendingCall), inbound: make(chan inboundMessage, 16), done: make(chan struct{})}
	r := bufio.NewReader(conn)
	if connection.peer, err = handshake(conn, r, hello, counters.addCall, counters.addResponse); err != nil {
		conn.Close()
		return nil, err
	}
	life := context.WithoutCancel(ctx)
	connection.spawn = func(name string, run func()) { actors.Go(life, name, func(context.Context) { run() }) }
	actors.Go(life, "circuit-read", func(context.Context) { connection.read(r) })
	actors.Go(life, "circuit", func(context.Context) { connection.run() })
	return connection, nil
}

// handshake sends the own greeting and reads the other's; sent and came count them.
func handshake(conn net.Conn, r *bufio.Reader, hello Hello, countSent, countReceived func(kind string, bytes int)) (Hello, error) {
	var peer Hello
	conn.SetDeadline(time.Now().Add(time.Second))
	defer conn.SetDeadline(time.Time{})
	raw, err := msgpack.Marshal(&hello)
	if err != nil {
		return peer, err
	}
	if _, err := conn.Write(sealFrame(append(make([]byte, headerLen), raw...))); err != nil {
		return peer, eris.Wrap(err, "greet")
	}
	countSent(kindHello, headerLen+len(raw))
	payload, err := readFrame(r, maxHelloSize)
	if err != nil {
		return peer, eris.Wrap(err, "read greeting")
	}
	countReceived(kindHello, headerLen+len(payload))
	return peer, eris.Wrap(Unmarshal(payload, &peer), "greeting")
}

// Peer is whom the connection reached.
func (c *Connection) Peer() Hello { return c.peer }

// Done is closed when the connection has ended.
func (c *Connection) Done() <-chan struct{} { return c.done }

// Close ends the connection; calls still open are lost.
func (c *Connection) Close() { c.conn.Close() }

// Call sends body and waits for the response or for ctx. The span in ctx's slot
// goes at the start of the message.
func (c *Connection) Call(ctx context.Context, kind string, body any) Response {
	return c.call(ctx, ctx, kind, body, false)
}

// call is Call, with a bound of its own on how long the connection may take to begin with
// it: until then it is surely unsent.
func (c *Connection) call(ctx, beginCtx context.Context, kind string, body any, failFast bool) Response {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		return Response{Delivery: NotDelivered, Fault: err.Error()}
	}
	span, _ := trace.SpanFromContext(ctx)
	call := &pendingCall{span: span, kind: kind, body: encoded, failFast: failFast, response: make(chan Response, 1)}
	select {
	case c.calls <- call:
	case <-c.done:
		return Response{Delivery: NotDelivered}
	case <-beginCtx.Done():
		return Response{Delivery: NotDelivered}
	}
	select {
	case r := <-call.response:
		return r
	case <-ctx.Done():
		// The connection is not waited for: it may be held up by its peer.
		call.abandoned.Store(true)
		return Response{Delivery: DeliveryUnknown}
	}
}

func (c *Connection) read(r *bufio.Reader) {
	for {
		var received inboundMessage
		payload, err := readFrame(r, MaxFrameSize)
		if err == nil {
			received.span, received.traced, received.message, err = decode(payload)
			received.bytes = headerLen + len(payload)
		}
		received.err = err
		select {
		case c.inbound <- received:
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
	calls := newPendingCalls(c)
	defer calls.close()
	for calls.step() {
	}
}
