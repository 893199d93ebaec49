package transport

import (
	"bufio"
	"context"
	"net"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/trace"
)

// Request is a call that arrived, for a handler.
type Request struct {
	Peer Hello
	body msgpack.RawMessage
}

// Decode reads the call's body.
func (r Request) Decode(v any) bool { return msgpack.Unmarshal(r.body, v) == nil }

// Handler answers one kind of call. The caller's span is in ctx's slot. A
// non-empty fault means that the call was not taken.
type Handler func(ctx context.Context, request Request) (body any, fault string)

// Server is the answering side of connections. (DESIGN 3.2)
type Server struct {
	Hello    Hello
	Handlers map[string]Handler
	Actors   *actor.System
	// Listener is where connections come in.
	Listener net.Listener
	// Counters are the calls that came and the responses sent, by kind.
	Counters Counters
}

// Addr is where the host listens.
func (s *Server) Addr() net.Addr { return s.Listener.Addr() }

// Run accepts connections until ctx ends. Connections end with their own contexts
// after their open calls are answered.
func (s *Server) Run(ctx context.Context) {
	s.Actors.Go(ctx, "host-close", func(ctx context.Context) { <-ctx.Done(); s.Listener.Close() })
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return
		}
		s.Actors.Go(ctx, "host-circuit", func(ctx context.Context) { s.serve(ctx, conn) })
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	peer, err := handshake(conn, r, s.Hello, s.Counters.addResponse, s.Counters.addCall)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := make(chan []byte, 16)
	s.Actors.Go(ctx, "host-write", func(ctx context.Context) {
		defer conn.Close()
		writeResponses(ctx, conn, out)
	})
	s.readCalls(ctx, r, out, peer)
}

// writeResponses writes responses as they come, until ctx or the connection ends.
func writeResponses(ctx context.Context, conn net.Conn, out <-chan []byte) {
	for {
		select {
		case frame := <-out:
			if _, err := writeFrame(conn, frame); err != nil {
				return
			}
		case <-ctx.Done():
			flushResponses(conn, out)
			return
		}
	}
}

// readCalls reads calls and has them answered, until the connection ends or what comes on it
// can't be trusted.
func (s *Server) readCalls(ctx context.Context, r *bufio.Reader, out chan<- []byte, peer Hello) {
	var lastID uint64
	for {
		payload, err := readFrame(r, MaxFrameSize)
		if err != nil {
			return
		}
		span, traced, call, err := decode(payload)
		if err != nil {
			return
		}
		s.Counters.addCall(s.countedKind(call.Kind), headerLen+len(payload))
		if call.Kind == KindPing {
			s.sendPong(out)
			continue
		}
		if call.ID <= lastID {
			return // a frame came twice or out of order
		}
		lastID = call.ID
		s.Actors.Go(ctx, "host-call", func(ctx context.Context) {
			if traced {
				ctx = trace.ContextWithSpan(ctx, span)
			}
			s.sendResponse(ctx, out, span, s.handle(ctx, peer, call))
		})
	}
}

func (s *Server) handle(ctx context.Context, peer Hello, call message) message {
	response := message{ID: call.ID, Kind: call.Kind}
	handler, ok := s.Handlers[call.Kind]
	if !ok {
		response.Fault = unknownKindPrefix + call.Kind
		return response
	}
	body, fault := handler(ctx, Request{Peer: peer, body: call.Body})
	response.Fault = fault
	if fault == "" {
		raw, err := msgpack.Marshal(body)
		if err != nil {
			response.Fault = err.Error()
		}
		response.Body = raw
	}
	return response
}

// sendResponse answers in the caller's form: traced to a traced call, else plain.
func (s *Server) sendResponse(ctx context.Context, out chan<- []byte, span trace.Span, response message) {
	frame, err := encode(span, response)
	if err != nil {
		frame, _ = encode(span, message{ID: response.ID, Kind: response.Kind, Fault: err.Error()})
	}
	s.Counters.addResponse(s.countedKind(response.Kind), len(frame))
	select {
	case out <- frame:
		return // also of a host that is being ended, if there is room
	default:
	}
	select {
	case out <- frame:
	case <-ctx.Done():
	}
}

// flushResponses writes the responses that are ready when a connection is ended, so that no call
// that was answered is lost.
func flushResponses(conn net.Conn, out <-chan []byte) {
	for {
		select {
		case frame := <-out:
			if _, err := writeFrame(conn, frame); err != nil {
				return
			}
		default:
			return
		}
	}
}

// sendPong answers a ping, unless responses wait to be written, which tell as much. The host
// must not wait for its own writing here: the caller may be writing, and read nothing
// before the host has read that. (DESIGN 3.4)
func (s *Server) sendPong(out chan<- []byte) {
	frame, err := encode(trace.Span{}, message{Kind: KindPing})
	if err != nil {
		panic(err) // a number and a word can be written
	}
	select {
	case out <- frame:
		s.Counters.addResponse(KindPing, len(frame))
	default:
	}
}

// countedKind is the kind that a call is counted as.
func (s *Server) countedKind(kind string) string {
	if _, ok := s.Handlers[kind]; ok || kind == KindPing {
		return kind
	}
	return kindUnknown
}
