package transport

import (
	"bufio"
	"context"
	"net"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/actor"
)

// Request is a call as a handler gets it.
type Request struct {
	// Peer is the Hello of the calling process.
	Peer Hello
	body msgpack.RawMessage
}

// Decode reads the call's body into v; false if it doesn't fit.
func (r Request) Decode(v any) bool { return msgpack.Unmarshal(r.body, v) == nil }

// Handler answers one kind of call. ctx has the caller's span, if it sent one, and ends with
// the connection. An error means that the call was not taken; its text is sent to the caller
// in place of the body.
type Handler func(ctx context.Context, request Request) (body any, err error)

// Server answers the calls of other processes. Its fields are set before Run. (DESIGN 3.2)
type Server struct {
	// Hello is sent on each connection.
	Hello Hello
	// Handlers are the handlers by kind of call.
	Handlers map[string]Handler
	Actors   *actor.System
	// Listener is where connections come in. Run closes it.
	Listener net.Listener
	// Counters are the calls received and the responses sent, by kind.
	Counters Counters
}

// Addr is where the server listens.
func (s *Server) Addr() net.Addr { return s.Listener.Addr() }

// Run accepts connections until ctx ends. Connections end with ctx too; responses that are
// ready then are still written.
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

// serve answers the calls of a connection until it ends.
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

// kindOf is the kind that a call is counted as.
func (s *Server) kindOf(call message) string {
	if _, ok := s.Handlers[call.Kind]; ok || call.Kind == KindPing {
		return call.Kind
	}
	return kindUnknown
}
