package transport

import (
	"bufio"
	"bytes"
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/trace"
)

func setup(t *testing.T) (context.Context, *actor.System) {
	return setupWithin(t, 10*time.Second)
}

// setupWithin is begin for a test that may take a time of its own.
func setupWithin(t *testing.T, limit time.Duration) (context.Context, *actor.System) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx, actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
}

func discardCount(string, int) {}

func bufReader(conn net.Conn) *bufio.Reader { return bufio.NewReader(conn) }

type echoMessage struct {
	Text  string `msgpack:"t"`
	Trace string `msgpack:"tr"`
}

func startServer(t *testing.T, ctx context.Context, actors *actor.System) *Server {
	server := &Server{Actors: actors, Hello: Hello{Version: ProtocolVersion, Node: "host"}, Handlers: map[string]Handler{
		"echo": func(ctx context.Context, request Request) (any, string) {
			var e echoMessage
			if !request.Decode(&e) {
				return nil, "not an echo"
			}
			if s, ok := trace.SpanFromContext(ctx); ok {
				e.Trace = s.Trace.String()
			}
			return e, ""
		},
	}}
	server.Listener = listen(t)
	actors.Go(ctx, "host", server.Run)
	return server
}

// The four mixes of traced and plain peers are served, each in its own form.
func TestTracedAndUntracedPeers(t *testing.T) {
	ctx, actors := setup(t)
	server := startServer(t, ctx, actors)
	c, err := Dial(ctx, actors, nil, server.Addr().String(), Hello{Version: ProtocolVersion, Node: "caller"})
	if err != nil {
		t.Fatal(err)
	}
	s := trace.Root()
	for _, traced := range []bool{true, false, true} {
		call, want := ctx, ""
		if traced {
			call, want = trace.ContextWithSpan(ctx, s), s.Trace.String()
		}
		var e echoMessage
		r := c.Call(call, "echo", echoMessage{Text: "x"})
		if !r.Decode(&e) || r.Traced != traced || e.Trace != want || e.Text != "x" {
			t.Errorf("traced %v: receipt traced %v, %+v", traced, r.Traced, e)
		}
	}

	// A peer that knows no tracing answers plain, and is understood.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	actors.Go(ctx, "plain-peer", func(context.Context) {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		handshake(conn, r, Hello{Version: 1}, discardCount, discardCount)
		for {
			b, err := readFrame(r, MaxFrameSize)
			if err != nil {
				return
			}
			_, _, m, _ := decode(b)
			out, _ := encode(trace.Span{}, m)
			conn.Write(out)
		}
	})
	p, err := Dial(ctx, actors, nil, ln.Addr().String(), Hello{Version: ProtocolVersion})
	if err != nil {
		t.Fatal(err)
	}
	var e echoMessage
	if r := p.Call(trace.ContextWithSpan(ctx, s), "echo", echoMessage{Text: "y"}); !r.Decode(&e) || r.Traced || e.Text != "y" {
		t.Errorf("plain peer: %+v %+v", r, e)
	}
}

// Old and new messages mix: unknown fields and versions are passed over.
func TestMixedVersions(t *testing.T) {
	ctx, actors := setup(t)
	server := startServer(t, ctx, actors)
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	newer, _ := msgpack.Marshal(map[string]any{"v": 99, "n": "newer", "b": 7, "later": "field"})
	conn.Write(sealFrame(append(make([]byte, headerLen), newer...)))
	if _, err := readFrame(r, MaxFrameSize); err != nil {
		t.Fatal(err)
	}
	body, _ := msgpack.Marshal(map[string]any{"t": "z", "more": []int{1}})
	call, _ := msgpack.Marshal(map[string]any{"i": 1, "k": "echo", "b": msgpack.RawMessage(body), "later": 3})
	conn.Write(sealFrame(append(make([]byte, headerLen), call...)))
	b, err := readFrame(r, MaxFrameSize)
	if err != nil {
		t.Fatal(err)
	}
	_, traced, m, err := decode(b)
	var e echoMessage
	if err != nil || traced || msgpack.Unmarshal(m.Body, &e) != nil || e.Text != "z" {
		t.Errorf("answer traced %v, %+v, %v", traced, m, err)
	}
}

// A frame that was altered, doubled or answered with another number breaks the
// connection; the call is lost, never answered wrongly.
func TestBadFramesBreakTheConnection(t *testing.T) {
	answers := map[string]func(m message) []byte{
		"altered": func(m message) []byte {
			out, _ := encode(trace.Span{}, m)
			out[bytes.LastIndexByte(out, 'x')] = 'y' // it still reads as an answer
			return out
		},
		"another's number": func(m message) []byte {
			m.ID += 5
			out, _ := encode(trace.Span{}, m)
			return out
		},
		"another's kind": func(m message) []byte {
			m.Kind = "other"
			out, _ := encode(trace.Span{}, m)
			return out
		},
		"cut short": func(m message) []byte {
			out, _ := encode(trace.Span{}, m)
			return out[:len(out)-3]
		},
		"too long": func(message) []byte { return []byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0} },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			ctx, actors := setup(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			actors.Go(ctx, "peer", func(context.Context) {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				r := bufio.NewReader(conn)
				handshake(conn, r, Hello{}, discardCount, discardCount)
				b, err := readFrame(r, MaxFrameSize)
				if err != nil {
					return
				}
				_, _, m, _ := decode(b)
				conn.Write(answer(m))
			})
			c, err := Dial(ctx, actors, nil, ln.Addr().String(), Hello{})
			if err != nil {
				t.Fatal(err)
			}
			if r := c.Call(ctx, "echo", echoMessage{Text: "x"}); r.Delivery != DeliveryUnknown {
				t.Errorf("fate %v", r.Delivery)
			}
			<-c.Done()
			if r := c.Call(ctx, "echo", echoMessage{Text: "x"}); r.Delivery != NotDelivered {
				t.Errorf("on a broken circuit: fate %v", r.Delivery)
			}
		})
	}
}

// The host runs no call twice: a doubled frame ends the connection.
func TestDuplicateCall(t *testing.T) {
	ctx, actors := setup(t)
	runs := make(chan int, 9)
	server := &Server{Actors: actors, Handlers: map[string]Handler{"run": func(context.Context, Request) (any, string) { runs <- 1; return 1, "" }}}
	server.Listener = listen(t)
	actors.Go(ctx, "host", server.Run)
	conn, r := dialRaw(t, server)
	out, _ := encode(trace.Span{}, message{ID: 1, Kind: "run"})
	conn.Write(append(append([]byte{}, out...), out...))
	for {
		if _, err := readFrame(r, MaxFrameSize); err != nil {
			break
		}
	}
	if <-runs; len(runs) != 0 {
		t.Error("it ran twice")
	}
}

// A host that is ended while it writes loses none of the responses that are ready.
func TestStoppedServerWritesItsResponses(t *testing.T) {
	ctx, actors := setup(t)
	life, end := context.WithCancel(ctx)
	const calls = 8
	ran := make(chan bool, calls)
	server := &Server{Actors: actors, Handlers: map[string]Handler{
		"long": func(context.Context, Request) (any, string) { return make([]byte, 8<<20), "" },
		"run":  func(context.Context, Request) (any, string) { ran <- true; return 1, "" },
	}}
	server.Listener = listen(t)
	actors.Go(life, "host", server.Run)
	conn, r := dialRaw(t, server)
	send := func(id uint64, kind string) {
		frame, err := encode(trace.Span{}, message{ID: id, Kind: kind})
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(frame)
	}
	send(1, "long")
	// Its first bytes have come, and the rest fills what the connection holds.
	if _, err := r.Peek(1); err != nil {
		t.Fatal(err)
	}
	for id := range uint64(calls) {
		send(2+id, "run")
	}
	for range calls {
		<-ran
	}
	end()
	got := 0
	for {
		if _, err := readFrame(r, MaxFrameSize); err != nil {
			break
		}
		got++
	}
	if got != 1+calls {
		t.Errorf("%d of %d responses came", got, 1+calls)
	}
}

// dialRaw is a raw connection to a host, after the greetings.
func dialRaw(t *testing.T, server *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	r := bufio.NewReader(conn)
	handshake(conn, r, Hello{}, discardCount, discardCount)
	return conn, r
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// Both sides count the same frames, each kind by itself; a kind that nobody answers is
// not kept by its name.
func TestCounters(t *testing.T) {
	ctx, actors := setup(t)
	server := startServer(t, ctx, actors)
	client := NewClient(actors, Hello{Version: ProtocolVersion, Node: "caller"}, nil)
	actors.Go(ctx, "net", client.Run)
	for _, kind := range []string{"echo", "echo", "nobody"} {
		client.Call(ctx, server.Addr().String(), ControlTraffic, kind, echoMessage{Text: kind})
	}
	called, answered := client.Counters.Snapshot(), server.Counters.Snapshot()
	answered["nobody"] = answered[kindUnknown]
	delete(answered, kindUnknown)
	if d := cmp.Diff(called, answered); d != "" {
		t.Error(d)
	}
	if c := called["echo"]; c.Calls != 2 || c.Responses != 2 || c.CallBytes <= 2*headerLen || called[kindHello].Calls != 1 || called["nobody"].Responses != 1 {
		t.Errorf("%+v", called)
	}
}
