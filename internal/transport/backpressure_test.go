package transport

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// smallBufferListener is a listener whose connections hold little that nobody has read.
type smallBufferListener struct{ net.Listener }

func (n smallBufferListener) Accept() (net.Conn, error) {
	conn, err := n.Listener.Accept()
	if err == nil {
		shrinkBuffers(conn)
	}
	return conn, err
}

func shrinkBuffers(conn net.Conn) {
	conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
}

// A caller that is busy writing reads nothing meanwhile, so that responses pile up. The
// host reads on all the same, pings too: else both would wait for each other until the
// connection broke.
func TestServerReadsOnWhileResponsesPileUp(t *testing.T) {
	ctx, actors := setup(t)
	answered := make(chan bool, 200)
	server := &Server{Actors: actors, Handlers: map[string]Handler{"large": func(context.Context, Request) (any, string) {
		answered <- true
		return make([]byte, 256<<10), ""
	}}}
	server.Listener = smallBufferListener{listen(t)}
	actors.Go(ctx, "host", server.Run)
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	shrinkBuffers(conn)
	r := bufReader(conn)
	if _, err := handshake(conn, r, Hello{}, discardCount, discardCount); err != nil {
		t.Fatal(err)
	}
	send := func(m message) {
		t.Helper()
		b, _ := encode(trace.Span{}, m)
		if _, err := conn.Write(b); err != nil {
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
		b, err := readFrame(r, MaxFrameSize)
		if err != nil {
			t.Fatalf("after %d receipts: %v", len(got), err)
		}
		if _, _, m, _ := decode(b); m.Kind == "large" {
			got[m.ID] = true
		}
	}
}

// A response reaches its caller also while another call's long frame is being written and
// its peer is slow to take it; and a call that comes meanwhile is surely unsent if it
// can't be begun in time.
func TestResponseWhileAFrameIsWritten(t *testing.T) {
	// A chunk that is not taken is given up after writeLimit; the rest is for making a
	// frame of 32 MiB, which takes seconds under the race detector on a busy machine.
	ctx, actors := setupWithin(t, 8*writeTimeout)
	small, large := make(chan bool), make(chan bool)
	addr := startPeer(t, func(conn net.Conn, r *bufio.Reader) {
		b, err := readFrame(r, MaxFrameSize)
		if err != nil {
			return
		}
		close(small)
		r.ReadByte() // of the large one, and no more
		close(large)
		_, _, m, _ := decode(b)
		out, _ := encode(trace.Span{}, m)
		conn.Write(out)
		<-ctx.Done()
	})
	c, err := Dial(ctx, actors, nil, addr, Hello{})
	if err != nil {
		t.Fatal(err)
	}
	fates := make(chan Delivery, 1)
	actors.Go(ctx, "large", func(ctx context.Context) {
		<-small
		fates <- c.Call(ctx, "large", make([]byte, 32<<20)).Delivery
	})
	begin := time.Now()
	var e echoMessage
	if r := c.Call(ctx, "echo", echoMessage{Text: "x"}); !r.Decode(&e) || e.Text != "x" || time.Since(begin) > 2*time.Second {
		t.Errorf("%+v %+v after %v", r, e, time.Since(begin))
	}
	<-large
	if fate := <-fates; fate != NotDelivered {
		t.Errorf("a frame that was never taken whole has fate %v", fate)
	}
}
