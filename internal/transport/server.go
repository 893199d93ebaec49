package transport

import (
	"bufio"
	"context"
	"net"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/actor"
)

// Request is a call that is passed to a Handler.
type Request struct {
	// Peer is the Hello of the calling process.
	Peer Hello
	body msgpack.RawMessage
}

// Decode decodes the body of the call into v. It reports whether the body fits the type of v. The
// body is known to be well-formed, because it was checked as a part of its message.
func (r Request) Decode(v any) bool { return msgpack.Unmarshal(r.body, v) == nil }

// Handler handles the calls of one kind and returns the body of the response. ctx has the
// caller's span if the caller sent one. ctx is cancelled when the connection ends. An error
// means that the call was rejected. The caller then receives the text of the error as
// Response.ErrorText, in place of a body.
type Handler func(ctx context.Context, request Request) (body any, err error)

// Server answers the calls of other processes. Its fields must be set before Run is called.
// (DESIGN 3.2)
type Server struct {
	// Hello is sent on each connection.
	Hello Hello
	// Handlers maps each kind of call to its handler.
	Handlers map[string]Handler
	Actors   *actor.System
	// Listener accepts the connections. Run closes it.
	Listener net.Listener
	// Counters counts the calls received and the responses sent, by kind.
	Counters Counters
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.Listener.Addr() }

// Run accepts connections until ctx ends. When ctx ends, all connections are closed, after the
// responses that are already queued have been written.
func (s *Server) Run(ctx context.Context) {
	s.Actors.Go(ctx, "transport-close", func(ctx context.Context) {
		<-ctx.Done()
		s.Listener.Close()
	})
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return
		}
		s.Actors.Go(ctx, "transport-serve", func(ctx context.Context) { s.serve(ctx, conn) })
	}
}

// serve performs the handshake on a connection and answers its calls until it ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	peer, err := handshake(conn, reader, s.Hello, s.Counters.addResponse, s.Counters.addCall)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &serverConnection{Server: s, conn: conn, peer: peer, responses: make(chan []byte, responseBacklog)}
	s.Actors.Go(ctx, "transport-respond", c.writeResponses)
	c.readCalls(ctx, reader)
}

// kindOf returns the kind under which a call is counted.
func (s *Server) kindOf(call message) string {
	if _, ok := s.Handlers[call.Kind]; ok || call.Kind == KindPing {
		return call.Kind
	}
	return kindUnknown
}
