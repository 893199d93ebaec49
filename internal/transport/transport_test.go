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

// A server answers a traced call with the caller's span, and an untraced call without a span. A
// client accepts a response without a span to a traced call.
func TestTracedAndUntracedPeers(t *testing.T) {
	ctx, actors := setup(t)
	server := startServer(t, ctx, actors)
	connection := dialPeer(t, ctx, actors, server.Addr().String())
	span := trace.Root()
	for _, traced := range []bool{true, false, true} {
		callCtx, want := ctx, ""
		if traced {
			callCtx, want = trace.ContextWithSpan(ctx, span), span.Trace.String()
		}
		var echo echoMessage
		response := connection.Call(callCtx, "echo", echoMessage{Text: "x"})
		if !response.Decode(&echo) || response.Traced != traced || echo.Trace != want || echo.Text != "x" {
			t.Errorf("traced call %v: got traced response %v, %+v, want the same tracing, the trace ID of the call and text x", traced, response.Traced, echo)
		}
	}

	// A peer without support for tracing answers without a span.
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
		t.Errorf("untraced peer: got %+v %+v, want an untraced response with text y", response, echo)
	}
}

// Processes of different versions interoperate: unknown fields and version numbers in a Hello
// or a message are ignored.
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
		t.Errorf("got %+v, %v, want an untraced response with text z", response, err)
	}
}

// A response that is corrupt, truncated, too long, or does not match the ID and kind of the call
// ends the connection. The call then returns with DeliveryUnknown, never with a wrong answer.
func TestBadFramesBreakTheConnection(t *testing.T) {
	responses := map[string]func(call message) []byte{
		"corrupt payload": func(call message) []byte {
			frame := frameOf(t, call)
			frame[bytes.LastIndexByte(frame, 'x')] = 'y' // the payload is still valid msgpack
			return frame
		},
		"wrong call ID": func(call message) []byte {
			call.ID += 5
			return frameOf(t, call)
		},
		"wrong kind": func(call message) []byte {
			call.Kind = "other"
			return frameOf(t, call)
		},
		"truncated": func(call message) []byte {
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
				t.Errorf("got delivery %v, want DeliveryUnknown", r.Delivery)
			}
			<-connection.Done()
			if r := connection.Call(ctx, "echo", echoMessage{Text: "x"}); r.Delivery != NotDelivered {
				t.Errorf("call on an ended connection: got delivery %v, want NotDelivered", r.Delivery)
			}
		})
	}
}

// The server does not run a call twice if its frame is duplicated on the way. The duplicate ends
// the connection.
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
		t.Error("the handler ran twice, want once")
	}
}

// A server that is stopped while it writes a long response still writes the queued responses.
func TestStoppedServerFlushesResponses(t *testing.T) {
	ctx, actors := setup(t)
	serverCtx, stop := context.WithCancel(ctx)
	defer stop()
	const calls = 8
	ran := make(chan bool, calls)
	server := startServerWith(t, serverCtx, actors, listen(t), map[string]Handler{
		"long": func(context.Context, Request) (any, error) { return make([]byte, 8<<20), nil },
		"run":  func(context.Context, Request) (any, error) { ran <- true; return 1, nil },
	})
	conn, r := dialRaw(t, server)
	conn.Write(frameOf(t, message{ID: 1, Kind: "long"}))
	// The first byte has arrived. The rest of the response fills the kernel buffers of the
	// connection, so the later responses stay in the queue.
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
		t.Errorf("got %d responses, want %d", got, 1+calls)
	}
}

// The client and the server count the same frames for each kind. The server counts calls that
// have no handler under kindUnknown, not under the kind that the peer sent.
func TestCounters(t *testing.T) {
	ctx, actors := setup(t)
	server := startServer(t, ctx, actors)
	client := NewClient(actors, Hello{Version: ProtocolVersion, Node: "caller"}, nil)
	actors.Go(ctx, "client", client.Run)
	for _, kind := range []string{"echo", "echo", "unregistered"} {
		client.Call(ctx, server.Addr().String(), ControlTraffic, kind, echoMessage{Text: kind})
	}
	clientCounts, serverCounts := client.Counters.Snapshot(), server.Counters.Snapshot()
	serverCounts["unregistered"] = serverCounts[kindUnknown]
	delete(serverCounts, kindUnknown)
	if d := cmp.Diff(clientCounts, serverCounts); d != "" {
		t.Error(d)
	}
	if c := clientCounts["echo"]; c.Calls != 2 || c.Responses != 2 || c.CallBytes <= 2*headerLen || clientCounts[kindHello].Calls != 1 || clientCounts["unregistered"].Responses != 1 {
		t.Errorf("got %+v, want 2 echo calls with responses, 1 Hello and 1 unregistered response", clientCounts)
	}
}
