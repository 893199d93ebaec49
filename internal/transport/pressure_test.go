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

// narrow is a listener whose connections hold little that nobody has read.
type narrow struct{ net.Listener }

func (n narrow) Accept() (net.Conn, error) {
	conn, err := n.Listener.Accept()
	if err == nil {
		narrowed(conn)
	}
	return conn, err
}

func narrowed(conn net.Conn) {
	conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
}

// A caller that is busy writing reads nothing meanwhile, so that responses pile up. The
// host reads on all the same, pings too: else both would wait for each other until the
// connection broke.
func TestHostReadsOnWhileResponsesPileUp(t *testing.T) {
	ctx, l := begin(t)
	answered := make(chan bool, 200)
	h := &Host{Launcher: l, Handlers: map[string]Handler{"large": func(context.Context, Request) (any, string) {
		answered <- true
		return make([]byte, 256<<10), ""
	}}}
	h.Listener = narrow{listen(t)}
	l.Go(ctx, "host", h.Run)
	conn, err := net.Dial("tcp", h.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	narrowed(conn)
	r := bufReader(conn)
	if _, err := exchange(conn, r, Greeting{}, uncounted, uncounted); err != nil {
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
	conn.SetWriteDeadline(time.Now().Add(writeLimit - 500*time.Millisecond))
	send(message{ID: calls + 1, Kind: "large", Body: body})
	got := map[uint64]bool{}
	for len(got) < calls+1 {
		b, err := readFrame(r, MaxFrame)
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
	ctx, l := beginFor(t, 8*writeLimit)
	small, large := make(chan bool), make(chan bool)
	addr := silentPeer(t, func(conn net.Conn, r *bufio.Reader) {
		b, err := readFrame(r, MaxFrame)
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
	c, err := Dial(ctx, l, nil, addr, Greeting{})
	if err != nil {
		t.Fatal(err)
	}
	fates := make(chan Fate, 1)
	l.Go(ctx, "large", func(ctx context.Context) {
		<-small
		fates <- c.Call(ctx, "large", make([]byte, 32<<20)).Fate
	})
	begin := time.Now()
	var e echo
	if r := c.Call(ctx, "echo", echo{Text: "x"}); !r.Into(&e) || e.Text != "x" || time.Since(begin) > 2*time.Second {
		t.Errorf("%+v %+v after %v", r, e, time.Since(begin))
	}
	<-large
	if fate := <-fates; fate != Unsent {
		t.Errorf("a frame that was never taken whole has fate %v", fate)
	}
}
