package transport

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// smallBufferListener is a listener whose connections have small kernel buffers, so that writes
// block soon when the peer does not read.
type smallBufferListener struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		shrinkBuffers(conn)
	}
	return conn, err
}

func shrinkBuffers(conn net.Conn) {
	conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
}

// Guards against a deadlock. A caller that is writing a long frame reads no responses, so the
// server's response queue fills up. If the server blocked on the full queue instead of reading
// calls and pings, both sides would wait for each other until the connection timed out.
func TestServerKeepsReadingWhileResponsesQueue(t *testing.T) {
	ctx, actors := setup(t)
	answered := make(chan bool, 200)
	server := startServerWith(t, ctx, actors, smallBufferListener{listen(t)}, map[string]Handler{
		"large": func(context.Context, Request) (any, error) {
			answered <- true
			return make([]byte, 256<<10), nil
		},
	})
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	shrinkBuffers(conn)
	r := bufio.NewReader(conn)
	if _, err := handshake(conn, r, Hello{}, discardCount, discardCount); err != nil {
		t.Fatal(err)
	}
	send := func(m message) {
		t.Helper()
		if _, err := conn.Write(frameOf(t, m)); err != nil {
			t.Fatal(err)
		}
	}
	const calls = 40
	for id := range uint64(calls) {
		send(message{ID: id + 1, Kind: "large"})
	}
	for range calls {
		<-answered
	}
	for range 9 {
		send(message{Kind: KindPing})
	}
	body, _ := msgpack.Marshal(make([]byte, 4<<20))
	conn.SetWriteDeadline(time.Now().Add(writeTimeout - 500*time.Millisecond))
	send(message{ID: calls + 1, Kind: "large", Body: body})
	got := map[uint64]bool{}
	for len(got) < calls+1 {
		m, ok := readMessage(r)
		if !ok {
			t.Fatalf("connection ended after %d responses, want one for each of the 41 calls", len(got))
		}
		if m.Kind == "large" {
			got[m.ID] = true
		}
	}
}

// A response reaches its caller while the long frame of another call is being written and the
// peer does not accept it. A call whose frame was not written completely is reported as not
// delivered.
func TestResponseDuringLongWrite(t *testing.T) {
	// A chunk that the peer does not accept fails after writeTimeout. The rest of the limit is
	// for encoding the frame of 32 MiB, which takes seconds under the race detector on a busy
	// machine.
	ctx, actors := setupWithin(t, 8*writeTimeout)
	small, large := make(chan bool), make(chan bool)
	addr := startPeer(t, func(conn net.Conn, r *bufio.Reader) {
		m, ok := readMessage(r)
		if !ok {
			return
		}
		close(small)
		r.ReadByte() // read one byte of the large call and then stop reading
		close(large)
		conn.Write(frameOf(t, m))
		<-ctx.Done()
	})
	connection := dialPeer(t, ctx, actors, addr)
	deliveries := make(chan Delivery, 1)
	actors.Go(ctx, "large", func(ctx context.Context) {
		<-small
		deliveries <- connection.Call(ctx, "large", make([]byte, 32<<20)).Delivery
	})
	begin := time.Now()
	var echo echoMessage
	if response := connection.Call(ctx, "echo", echoMessage{Text: "x"}); !response.Decode(&echo) || echo.Text != "x" || time.Since(begin) > 2*time.Second {
		t.Errorf("small call got %+v %+v after %v, want its own text within 2 s", response, echo, time.Since(begin))
	}
	<-large
	if delivery := <-deliveries; delivery != NotDelivered {
		t.Errorf("call with an incomplete frame: got delivery %v, want NotDelivered", delivery)
	}
}
