package transport

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/trace"
)

const (
	// dialTimeout is how long opening a TCP connection may take.
	dialTimeout = time.Second
	// inboundBacklog is the number of messages that may be read before they are handled.
	inboundBacklog = 16
)

// Connection is the calling side of one TCP connection. It multiplexes concurrent calls and
// matches each response to its call by the call's ID. (DESIGN 3.2)
//
// One goroutine reads frames. Another owns the pending calls and writes frames. Both end with
// the connection. The connection ends when the peer closes it, when the peer times out, when
// the peer sends an invalid frame or an unexpected response, when a write fails, or when Close is
// called.
type Connection struct {
	conn     *countingConn
	peer     Hello
	counters *Counters
	calls    chan *pendingCall
	inbound  chan inboundEnvelope
	done     chan struct{}
	// spawn starts a goroutine of the connection. name identifies it in the report of a panic.
	spawn func(name string, run func())
}

// outboundCall is a call before its body is encoded.
type outboundCall struct {
	kind string
	body any
	// failFast makes the call fail at once if the peer is suspected to be down, so that the
	// caller can try another node.
	failFast bool
}

// inboundEnvelope is a message read from the peer, or the error that ended reading.
type inboundEnvelope struct {
	envelope
	err error
}

// Dial opens a connection to addr and exchanges Hellos. The connection uses localIP as its
// source address; if localIP is nil, the kernel chooses one.
func Dial(ctx context.Context, actors *actor.System, localIP net.IP, addr string, hello Hello) (*Connection, error) {
	return dial(ctx, actors, localIP, addr, hello, &Counters{})
}

// dial is like Dial, but counts frames in counters.
func dial(ctx context.Context, actors *actor.System, localIP net.IP, addr string, hello Hello, counters *Counters) (*Connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	tcp, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	conn := &countingConn{Conn: tcp}
	reader := bufio.NewReader(conn)
	peer, err := handshake(conn, reader, hello, counters.addCall, counters.addResponse)
	if err != nil {
		conn.Close()
		return nil, err
	}
	// The connection must stay open after the call that it was opened for has ended.
	connectionCtx := context.WithoutCancel(ctx)
	connection := &Connection{
		conn:     conn,
		peer:     peer,
		counters: counters,
		calls:    make(chan *pendingCall),
		inbound:  make(chan inboundEnvelope, inboundBacklog),
		done:     make(chan struct{}),
		spawn: func(name string, run func()) {
			actors.Go(connectionCtx, name, func(context.Context) { run() })
		},
	}
	connection.spawn("transport-read", func() { connection.read(reader) })
	connection.spawn("transport-connection", connection.run)
	return connection, nil
}

// Peer returns the Hello that the peer sent.
func (c *Connection) Peer() Hello { return c.peer }

// Done returns a channel that is closed when the connection has ended.
func (c *Connection) Done() <-chan struct{} { return c.done }

// Close closes the connection. Pending calls return with DeliveryUnknown, except a call whose
// frame was not written completely, which returns with NotDelivered.
func (c *Connection) Close() { c.conn.Close() }

// Call sends a call and blocks until the response arrives or ctx ends. If ctx has a span, the
// span is sent with the call.
func (c *Connection) Call(ctx context.Context, kind string, body any) Response {
	return c.call(ctx, ctx, outboundCall{kind: kind, body: body})
}

// call is like Call, but fails with NotDelivered if the connection has not accepted the call
// when beginCtx ends. No part of a call is sent before the connection accepts it.
func (c *Connection) call(ctx, beginCtx context.Context, out outboundCall) Response {
	body, err := msgpack.Marshal(out.body)
	if err != nil {
		return notDelivered(err.Error())
	}
	span, _ := trace.SpanFromContext(ctx)
	call := &pendingCall{span: span, kind: out.kind, body: body, failFast: out.failFast, response: make(chan Response, 1)}
	select {
	case c.calls <- call:
	case <-c.done:
		return notDelivered("")
	case <-beginCtx.Done():
		return notDelivered("")
	}
	select {
	case response := <-call.response:
		return response
	case <-ctx.Done():
		// Return without waiting for the connection's goroutine: a slow peer may block it.
		call.abandoned.Store(true)
		return Response{Delivery: DeliveryUnknown}
	}
}

// read reads messages and passes them to run until the connection ends.
func (c *Connection) read(reader *bufio.Reader) {
	for {
		received := readEnvelope(reader)
		select {
		case c.inbound <- received:
		case <-c.done:
			return
		}
		if received.err != nil {
			return
		}
	}
}

// readEnvelope reads one frame and decodes its message.
func readEnvelope(reader *bufio.Reader) inboundEnvelope {
	b, err := readFrame(reader, MaxFrameSize)
	if err != nil {
		return inboundEnvelope{err: err}
	}
	e, err := decode(b)
	return inboundEnvelope{envelope: e, err: err}
}

// run handles the pending calls until the connection ends. Only run starts writing a frame,
// and it does so one frame at a time.
func (c *Connection) run() {
	calls := newPendingCalls(c)
	defer calls.close()
	for calls.step() {
	}
}
