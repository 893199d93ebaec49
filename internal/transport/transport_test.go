package transport

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// A server answers traced calls with the span, and others without one.
func TestTracedAndUntracedPeers(t *testing.T) {
	ctx, actors := setup(t)
	server := startServer(t, ctx, actors)
	connection := dialPeer(t, ctx, actors, server.Addr().String())
	span := trace.Root()
	for _, traced := range []bool{true, false, true} {
		call, want := ctx, ""
		if traced {
			call, want = trace.ContextWithSpan(ctx, span), span.Trace.String()
		}
		var echo echoMessage
		response := connection.Call(call, "echo", echoMessage{Text: "x"})
		if !response.Decode(&echo) || response.Traced != traced || echo.Trace != want || echo.Text != "x" {
			t.Errorf("traced %v: response traced %v, %+v", traced, response.Traced, echo)
		}
	}

	// A peer that knows no tracing answers without a span, and is understood.
	addr := startPeer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			m, ok := readMessage(r)
			if !ok {
				return
			}
			conn.Write(frameOf(t, m))
		}
	})
	untraced := dialPeer(t, ctx, actors, addr)
	var echo echoMessage
	if response := untraced.Call(trace.ContextWithSpan(ctx, span), "echo", echoMessage{Text: "y"}); !response.Decode(&echo) || response.Traced || echo.Text != "y" {
		t.Errorf("untraced peer: %+v %+v", response, echo)
	}
}

// Old and new messages mix: unknown fields and versions are ignored.
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
	response, err := decode(b)
	var echo echoMessage
	if err != nil || response.traced || msgpack.Unmarshal(response.message.Body, &echo) != nil || echo.Text != "z" {
		t.Errorf("answered %+v, %v", response, err)
	}
}

// A response that was altered, cut or has another call's number breaks the connection; the
// call is never answered wrongly.
func TestBadFramesBreakTheConnection(t *testing.T) {
	responses := map[string]func(call message) []byte{
		"altered": func(call message) []byte {
			frame := frameOf(t, call)
			frame[bytes.LastIndexByte(frame, 'x')] = 'y' // it still decodes
			return frame
		},
		"another's number": func(call message) []byte {
			call.ID += 5
			return frameOf(t, call)
		},
		"another's kind": func(call message) []byte {
			call.Kind = "other"
			return frameOf(t, call)
		},
		"cut short": func(call message) []byte {
			frame := frameOf(t, call)
			return frame[:len(frame)-3]
		},
		"too long": func(message) []byte { return []byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0} },
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			ctx, actors := setup(t)
			addr := startPeer(t, func(conn net.Conn, r *bufio.Reader) {
				call, ok := readMessage(r)
				if !ok {
					return
				}
				conn.Write(response(call))
			})
			connection := dialPeer(t, ctx, actors, addr)
			if r := connection.Call(ctx, "echo", echoMessage{Text: "x"}); r.Delivery != DeliveryUnknown {
				t.Errorf("delivery %v", r.Delivery)
			}
			<-connection.Done()
			if r := connection.Call(ctx, "echo", echoMessage{Text: "x"}); r.Delivery != NotDelivered {
				t.Errorf("on a broken connection: delivery %v", r.Delivery)
			}
		})
	}
}

// The server handles no call twice: a duplicate frame ends the connection.
func TestDuplicateCall(t *testing.T) {
	ctx, actors := setup(t)
	runs := make(chan int, 9)
	server := startServerWith(t, ctx, actors, listen(t), map[string]Handler{
		"run": func(context.Context, Request) (any, error) { runs <- 1; return 1, nil },
	})
	conn, r := dialRaw(t, server)
	frame := frameOf(t, message{ID: 1, Kind: "run"})
	conn.Write(bytes.Repeat(frame, 2))
	for {
		if _, err := readFrame(r, MaxFrameSize); err != nil {
			break
		}
	}
	if <-runs; len(runs) != 0 {
		t.Error("it ran twice")
	}
}

// A server that is stopped while it writes loses none of the responses that are ready.
func TestStoppedServerWritesItsResponses(t *testing.T) {
	ctx, actors := setup(t)
	life, stop := context.WithCancel(ctx)
	defer stop()
	const calls = 8
	ran := make(chan bool, calls)
	server := startServerWith(t, life, actors, listen(t), map[string]Handler{
		"long": func(context.Context, Request) (any, error) { return make([]byte, 8<<20), nil },
		"run":  func(context.Context, Request) (any, error) { ran <- true; return 1, nil },
	})
	conn, r := dialRaw(t, server)
	conn.Write(frameOf(t, message{ID: 1, Kind: "long"}))
	// Its first bytes have come, and the rest fills what the connection buffers.
	if _, err := r.Peek(1); err != nil {
		t.Fatal(err)
	}
	for id := range uint64(calls) {
		conn.Write(frameOf(t, message{ID: 2 + id, Kind: "run"}))
	}
	for range calls {
		<-ran
	}
	stop()
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

// Both sides count the same frames, each kind by itself; a kind that has no handler is not
// kept by its name.
func TestCounters(t *testing.T) {
	ctx, actors := setup(t)
	server := startServer(t, ctx, actors)
	client := NewClient(actors, Hello{Version: ProtocolVersion, Node: "caller"}, nil)
	actors.Go(ctx, "client", client.Run)
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
