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
	Far  Greeting
	body msgpack.RawMessage
}

// Into reads the call's body.
func (q Request) Into(v any) bool { return msgpack.Unmarshal(q.body, v) == nil }

// Handler answers one kind of call. The caller's span is in ctx's slot. A
// non-empty fault means that the call was not taken.
type Handler func(ctx context.Context, q Request) (body any, fault string)

// Host is the answering side of connections. (DESIGN 3.2)
type Host struct {
	Own      Greeting
	Handlers map[string]Handler
	Launcher *actor.Launcher
	// Listener is where connections come in.
	Listener net.Listener
	// Counts are the calls that came and the responses sent, by kind.
	Counts Counts
}

// Addr is where the host listens.
func (h *Host) Addr() net.Addr { return h.Listener.Addr() }

// Run accepts connections until ctx ends. Connections end with their own contexts
// after their open calls are answered.
func (h *Host) Run(ctx context.Context) {
	h.Launcher.Go(ctx, "host-close", func(ctx context.Context) { <-ctx.Done(); h.Listener.Close() })
	for {
		conn, err := h.Listener.Accept()
		if err != nil {
			return
		}
		h.Launcher.Go(ctx, "host-circuit", func(ctx context.Context) { h.serve(ctx, conn) })
	}
}

func (h *Host) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	far, err := exchange(conn, r, h.Own, h.Counts.response, h.Counts.call)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := make(chan []byte, 16)
	h.Launcher.Go(ctx, "host-write", func(ctx context.Context) {
		defer conn.Close()
		write(ctx, conn, out)
	})
	h.takeCalls(ctx, r, out, far)
}

// write writes responses as they come, until ctx or the connection ends.
func write(ctx context.Context, conn net.Conn, out <-chan []byte) {
	for {
		select {
		case b := <-out:
			if _, err := writeFrame(conn, b); err != nil {
				return
			}
		case <-ctx.Done():
			writeRest(conn, out)
			return
		}
	}
}

// takeCalls reads calls and has them answered, until the connection ends or what comes on it
// can't be trusted.
func (h *Host) takeCalls(ctx context.Context, r *bufio.Reader, out chan<- []byte, far Greeting) {
	var last uint64
	for {
		b, err := readFrame(r, MaxFrame)
		if err != nil {
			return
		}
		s, traced, m, err := decode(b)
		if err != nil {
			return
		}
		h.Counts.call(h.counted(m.Kind), headLen+len(b))
		if m.Kind == KindPing {
			h.pong(out)
			continue
		}
		if m.ID <= last {
			return // a frame came twice or out of order
		}
		last = m.ID
		h.Launcher.Go(ctx, "host-call", func(ctx context.Context) {
			if traced {
				ctx = trace.ContextWithSpan(ctx, s)
			}
			h.reply(ctx, out, s, h.answer(ctx, far, m))
		})
	}
}

func (h *Host) answer(ctx context.Context, far Greeting, m message) message {
	a := message{ID: m.ID, Kind: m.Kind}
	fn, ok := h.Handlers[m.Kind]
	if !ok {
		a.Fault = faultKind + m.Kind
		return a
	}
	body, fault := fn(ctx, Request{Far: far, body: m.Body})
	a.Fault = fault
	if fault == "" {
		raw, err := msgpack.Marshal(body)
		if err != nil {
			a.Fault = err.Error()
		}
		a.Body = raw
	}
	return a
}

// reply answers in the caller's form: traced to a traced call, else plain.
func (h *Host) reply(ctx context.Context, out chan<- []byte, s trace.Span, m message) {
	b, err := encode(s, m)
	if err != nil {
		b, _ = encode(s, message{ID: m.ID, Kind: m.Kind, Fault: err.Error()})
	}
	h.Counts.response(h.counted(m.Kind), len(b))
	select {
	case out <- b:
		return // also of a host that is being ended, if there is room
	default:
	}
	select {
	case out <- b:
	case <-ctx.Done():
	}
}

// writeRest writes the responses that are ready when a connection is ended, so that no call
// that was answered is lost.
func writeRest(conn net.Conn, out <-chan []byte) {
	for {
		select {
		case b := <-out:
			if _, err := writeFrame(conn, b); err != nil {
				return
			}
		default:
			return
		}
	}
}

// pong answers a ping, unless responses wait to be written, which tell as much. The host
// must not wait for its own writing here: the caller may be writing, and read nothing
// before the host has read that. (DESIGN 3.4)
func (h *Host) pong(out chan<- []byte) {
	b, err := encode(trace.Span{}, message{Kind: KindPing})
	if err != nil {
		panic(err) // a number and a word can be written
	}
	select {
	case out <- b:
		h.Counts.response(KindPing, len(b))
	default:
	}
}

// counted is the kind that a call is counted as.
func (h *Host) counted(kind string) string {
	if _, ok := h.Handlers[kind]; ok || kind == KindPing {
		return kind
	}
	return kindUnknown
}
