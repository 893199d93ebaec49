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
	dialTimeout = time.Second // (ours)
	// inboundBacklog is how many messages are read ahead of their handling.
	inboundBacklog = 16 // (ours)
)

// Connection is the calling side of one TCP connection: many calls at a time, each matched
// to its response by its number. (DESIGN 3.2)
//
// One goroutine reads frames, another owns the pending calls and writes. Both end with the
// connection, which ends when the peer closes it or times out, when something comes that
// can't be trusted, or by Close.
type Connection struct {
	conn     *countingConn
	peer     Hello
	counters *Counters
	calls    chan *pendingCall
	inbound  chan inboundEnvelope
	done     chan struct{}
	// spawn starts a goroutine that writes a long frame.
	spawn func(name string, run func())
}

// outboundCall is a call as its caller makes it.
type outboundCall struct {
	kind string
	body any
	// failFast says that the caller would rather turn to another node than wait for a peer
	// that is suspected to be gone.
	failFast bool
}

// inboundEnvelope is what was read from the peer, or why nothing more can be.
type inboundEnvelope struct {
	envelope
	err error
}

// Dial opens a connection and exchanges Hellos. localIP is the address that it comes from,
// nil for any.
func Dial(ctx context.Context, actors *actor.System, localIP net.IP, addr string, hello Hello) (*Connection, error) {
	return dial(ctx, actors, localIP, addr, hello, &Counters{})
}

// dial is Dial with the caller's counters.
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
	// The connection outlives the call that it was opened for.
	life := context.WithoutCancel(ctx)
	connection := &Connection{
		conn:     conn,
		peer:     peer,
		counters: counters,
		calls:    make(chan *pendingCall),
		inbound:  make(chan inboundEnvelope, inboundBacklog),
		done:     make(chan struct{}),
		spawn: func(name string, run func()) {
			actors.Go(life, name, func(context.Context) { run() })
		},
	}
	connection.spawn("transport-read", func() { connection.read(reader) })
	connection.spawn("transport-connection", connection.run)
	return connection, nil
}

// Peer is the Hello of the process that the connection reached.
func (c *Connection) Peer() Hello { return c.peer }

// Done is closed when the connection has ended.
func (c *Connection) Done() <-chan struct{} { return c.done }

// Close ends the connection. It is not known whether calls still pending were delivered.
func (c *Connection) Close() { c.conn.Close() }

// Call sends a call and waits for the response or for ctx. The span of ctx, if it has one,
// is sent with it.
func (c *Connection) Call(ctx context.Context, kind string, body any) Response {
	return c.call(ctx, ctx, outboundCall{kind: kind, body: body})
}

// call is Call; until beginCtx ends the connection may take to begin with the call, which
// is certainly not delivered before.
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
		// The connection is not waited for: its peer may hold it up.
		call.abandoned.Store(true)
		return Response{Delivery: DeliveryUnknown}
	}
}

// read reads messages until the connection ends.
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

// readEnvelope reads one frame.
func readEnvelope(reader *bufio.Reader) inboundEnvelope {
	b, err := readFrame(reader, MaxFrameSize)
	if err != nil {
		return inboundEnvelope{err: err}
	}
	e, err := decode(b)
	return inboundEnvelope{envelope: e, err: err}
}

// run handles the pending calls until the connection ends. It alone lets frames be written,
// one at a time.
func (c *Connection) run() {
	calls := newPendingCalls(c)
	defer calls.close()
	for calls.step() {
	}
}
