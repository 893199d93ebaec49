package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/trace"
)

// setup returns a context that ends after ten seconds, and an actor system.
func setup(t *testing.T) (context.Context, *actor.System) {
	t.Helper()
	return setupWithin(t, 10*time.Second)
}

// setupWithin is like setup, but the context ends after limit.
func setupWithin(t *testing.T, limit time.Duration) (context.Context, *actor.System) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx, actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
}

// discardCount is a countFunc that counts nothing.
func discardCount(string, int) {}

// listen opens a listener on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// echoMessage is the body of "echo" calls and of their responses.
type echoMessage struct {
	Text string `msgpack:"t"`
	// Trace is the trace ID in the context of the handler.
	Trace string `msgpack:"tr"`
}

// startServer starts a server with a handler for "echo" calls.
func startServer(t *testing.T, ctx context.Context, actors *actor.System) *Server {
	t.Helper()
	return startServerWith(t, ctx, actors, listen(t), map[string]Handler{
		"echo": func(ctx context.Context, request Request) (any, error) {
			var echo echoMessage
			if !request.Decode(&echo) {
				return nil, errors.New("body is not an echo message")
			}
			if span, ok := trace.SpanFromContext(ctx); ok {
				echo.Trace = span.Trace.String()
			}
			return echo, nil
		},
	})
}

// startServerWith starts a server with the given handlers.
func startServerWith(t *testing.T, ctx context.Context, actors *actor.System, listener net.Listener, handlers map[string]Handler) *Server {
	t.Helper()
	server := &Server{Actors: actors, Hello: Hello{Version: ProtocolVersion, Node: "server"}, Handlers: handlers, Listener: listener}
	actors.Go(ctx, "server", server.Run)
	return server
}

// startPeer accepts connections, exchanges Hellos and calls handle for each connection.
func startPeer(t *testing.T, handle func(conn net.Conn, r *bufio.Reader)) (addr string) {
	t.Helper()
	listener := listen(t)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				handshake(conn, r, Hello{}, discardCount, discardCount)
				handle(conn, r)
			}()
		}
	}()
	return listener.Addr().String()
}

// dialPeer opens a Connection to addr.
func dialPeer(t *testing.T, ctx context.Context, actors *actor.System, addr string) *Connection {
	t.Helper()
	connection, err := Dial(ctx, actors, nil, addr, Hello{Version: ProtocolVersion, Node: "caller"})
	if err != nil {
		t.Fatal(err)
	}
	return connection
}

// dialRaw opens a TCP connection to a server and exchanges Hellos.
func dialRaw(t *testing.T, server *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	r := bufio.NewReader(conn)
	if _, err := handshake(conn, r, Hello{}, discardCount, discardCount); err != nil {
		t.Fatal(err)
	}
	return conn, r
}

// readMessage reads a message. It returns false if the connection has ended or the frame is
// invalid.
func readMessage(r io.Reader) (message, bool) {
	b, err := readFrame(r, MaxFrameSize)
	if err != nil {
		return message{}, false
	}
	e, err := decode(b)
	return e.message, err == nil
}

// frameOf returns the frame of a message, without a span.
func frameOf(t *testing.T, m message) []byte {
	t.Helper()
	frame, err := encode(trace.Span{}, m)
	if err != nil {
		t.Error(err)
	}
	return frame
}
