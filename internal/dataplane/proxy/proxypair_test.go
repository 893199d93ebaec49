package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/causality"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/transport"
)

// proxyPair is a near side, a far side and a stand-in backend, with a connection between them:
// "/once/" must not be repeated, "/look/" may be.
type proxyPair struct {
	*fakeBackend
	outbound *Outbound
	// addr is where clients send.
	addr string
	// closeConnections ends the connections that are open.
	closeConnections func()
}

const pairConfiguration = `{"ways": [
	{"name": "once", "prefix": "/once/", "service": "desk", "contract": "c"},
	{"name": "look", "prefix": "/look/", "service": "desk", "contract": "c", "repeatable": true}],
	"contracts": [{"name": "c", "rank": 1, "aim": "1s", "expiry": "3s"}]}`

func newProxyPair(t testing.TB, speak func(v receivedRequest) bool) *proxyPair {
	t.Helper()
	return newProxyPairWith(t, speak, func(map[string]transport.Handler) {})
}

// recordingListener is a listener that keeps what it accepted.
type recordingListener struct {
	net.Listener
	mu   sync.Mutex
	open []net.Conn
}

func (c *recordingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, conn)
	return conn, err
}

func (c *recordingListener) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		if conn != nil {
			conn.Close()
		}
	}
	c.open = nil
}

// newProxyPairWith lets a test stand between the two sides.
func newProxyPairWith(t testing.TB, speak func(v receivedRequest) bool, between func(map[string]transport.Handler)) *proxyPair {
	t.Helper()
	p := &proxyPair{fakeBackend: newFakeBackend(t, speak)}
	ctx, cancel := context.WithCancel(context.Background())
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	table, ok := routing.NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: []byte(pairConfiguration)})
	if !ok {
		t.Fatal("the configuration is not taken")
	}
	no := func() bool { return false }
	queue := trace.NewQueue("near", 1, 16)
	lin := causality.NewTracker()

	f := p.inbound
	f.Incarnation, f.Spans, f.Causality, f.Draining, f.LeaseHeld = 7, queue, lin, no, func() bool { return true }
	f.Table = func() *routing.Table { return table }
	f.Endpoints = func() endpoints.Registry {
		r, _ := endpoints.Registry{}.Announce(endpoints.Announcement{Instance: "a", Service: "desk", Address: p.entry.Address, Capacity: 8}, "north", time.Now())
		return r
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	kept := &recordingListener{Listener: listener}
	p.closeConnections = kept.closeAll
	handlers := map[string]transport.Handler{KindAttempt: f.HandleAttempt, KindCancel: f.HandleCancel}
	between(handlers)
	host := &transport.Server{Actors: actors, Listener: kept, Handlers: handlers}
	node := membership.Node{Addr: listener.Addr().String(), Incarnation: 7, Zone: "north", Backends: []membership.Backend{
		{Instance: "a", Service: "desk", Address: p.entry.Address, Zone: "north", Capacity: 8, CapacityShare: 1},
	}}
	view := membership.NewView(map[string]membership.Node{node.Addr: node}, nil)
	p.outbound = NewOutbound(OutboundConfig{
		Zone: "north", EjectionTime: time.Millisecond, MinRetryAfter: 100 * time.Millisecond,
	}, OutboundDeps{
		Table: f.Table, View: func() *membership.View { return view }, Transport: transport.NewClient(actors, transport.Hello{}, nil),
		Actors: actors, Spans: queue, Log: slog.New(slog.DiscardHandler), Causality: lin, Bodies: &BodyLimiter{MaxBody: 1 << 20, MaxTotal: 8 << 20},
		RetryBudgets: retrybudget.NewServiceBudgets("near", 20), Budgets: retrybudget.NewLatencyBudgets(), Latencies: routing.NewLatencyTable(),
		Dialect: echoDialect{}, Lifetime: ctx, Draining: no,
	})
	actors.Go(ctx, "lineage", lin.Run)
	actors.Go(ctx, "host", host.Run)
	actors.Go(ctx, "net", p.outbound.Transport.Run)
	server := httptest.NewServer(p.outbound.Handler(""))
	p.addr = server.Listener.Addr().String()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		<-actors.Done()
		actors.Stop()
	})
	return p
}

// testClient is a raw connection of a client.
type testClient struct {
	t testing.TB
	*net.TCPConn
	in *bufio.Reader
}

func (p *proxyPair) client(t testing.TB) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{t, c.(*net.TCPConn), bufio.NewReader(c)}
}

// send writes to the sidecar. What it does not take any more is no fault.
func (c *testClient) send(format string, args ...any) { fmt.Fprintf(c, format, args...) }

// receive reads the next answer; nil if the connection has ended.
func (c *testClient) receive() (resp *http.Response, body string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, ""
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("%d was cut short: %v", resp.StatusCode, err)
	}
	return resp, string(b)
}

// uris lists what the backend was asked for, by path.
func (p *proxyPair) uris() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for uri, n := range p.targets {
		out[uri] = n
	}
	return out
}

// echoRequest answers with the path and the body that it got.
func echoRequest(v receivedRequest) bool {
	b, _ := io.ReadAll(v.Body)
	v.respond(v.id, v.RequestURI+" "+string(b))
	return true
}

// Requests on one connection, one behind the other and some before the one ahead was
// answered, each get their own answer, in order.
func TestPipelined(t *testing.T) {
	p := newProxyPair(t, echoRequest)
	c := p.client(t)
	var text strings.Builder
	const n = 20
	for i := range n {
		fmt.Fprintf(&text, "POST /once/%d HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n%02d", i, i)
	}
	c.send("%s", text.String())
	for i := range n {
		resp, body := c.receive()
		if want := fmt.Sprintf("/once/%d %02d", i, i); resp == nil || resp.StatusCode != 200 || body != want {
			t.Fatalf("answer %d: %+v %q, want %q", i, resp, body, want)
		}
	}
	for uri, times := range p.uris() {
		if times != 1 {
			t.Errorf("%s ran %d times", uri, times)
		}
	}
}

// An early refusal, with the body still on its way: what follows is never taken for a
// request, and if the connection is used again, the next request gets its own answer.
func TestBodyAfterARefusal(t *testing.T) {
	smuggled := "POST /once/smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	long := strings.Repeat(smuggled, (2<<20)/len(smuggled))
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"over the bound, with its length":  {fmt.Sprintf("POST /once/long HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(long), long), 413},
		"over the bound, in chunks":        {fmt.Sprintf("POST /once/long HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long), 413},
		"no such way":                      {fmt.Sprintf("POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled), 404},
		"refused before its body was read": {fmt.Sprintf("POST /once/full HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled), 503},
		"asked before it is sent":          {fmt.Sprintf("POST /once/full HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled), 503},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxyPair(t, echoRequest)
			if c.status == 503 {
				p.outbound.Bodies.MaxTotal = 1
			}
			conn := p.client(t)
			go conn.send("%sPOST /once/next HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", c.text)
			resp, _ := conn.receive()
			if resp == nil || resp.StatusCode != c.status || resp.Header.Get(HeaderOutcome) != string(routing.NotRun) {
				t.Fatalf("%+v", resp)
			}
			if resp, body := conn.receive(); resp != nil && body != "/once/next " {
				t.Errorf("then came %+v %q", resp, body)
			}
			for uri := range p.uris() {
				if uri != "/once/next" {
					t.Errorf("%s ran", uri)
				}
			}
		})
	}
}

// Requests whose ends two readers might see at different places are refused, or reach
// the backend as one, whole and unchanged.
func TestTwoLengths(t *testing.T) {
	inner := "POST /once/smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"two lengths":             "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef" + inner,
		"a list of lengths":       "Content-Length: 5, 6\r\n\r\nabcdef" + inner,
		"a signed length":         "Content-Length: +5\r\n\r\nabcde" + inner,
		"a length and chunks":     "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"chunks of another name":  "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + inner,
		"chunks twice":            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"compressed chunks":       "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + inner,
		"a folded name":           "Transfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nabc" + inner,
		"an odd chunk":            "Transfer-Encoding: chunked\r\n\r\n1;a=b\nx\r\n0\r\n\r\n",
		"a chunk's length signed": "Transfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxyPair(t, echoRequest)
			c := p.client(t)
			c.send("POST /once/first HTTP/1.1\r\nHost: x\r\n%s", text)
			c.CloseWrite()
			for {
				resp, body := c.receive()
				if resp == nil {
					break
				}
				if resp.StatusCode == 200 && body != "/once/first x" {
					t.Errorf("%q", body)
				}
			}
			for uri, n := range p.uris() {
				if uri != "/once/first" || n > 1 {
					t.Errorf("%s ran %d times", uri, n)
				}
			}
		})
	}
}

// A client that goes away in the middle of its body, or of its answer, costs nobody else
// anything; of a body cut short nothing runs.
func TestClientResets(t *testing.T) {
	p := newProxyPair(t, echoRequest)
	for range 30 {
		c := p.client(t)
		c.send("POST /once/cut HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
		c.SetLinger(0)
		c.Close()
		c = p.client(t)
		c.send("POST /once/gone HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
		c.SetLinger(0)
		c.Close()
		c = p.client(t)
		c.send("POST /once/stays HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nmine")
		if resp, body := c.receive(); resp == nil || resp.StatusCode != 200 || body != "/once/stays mine" {
			t.Fatalf("%+v %q", resp, body)
		}
	}
	if got := p.uris(); got["/once/cut"] != 0 || got["/once/stays"] != 30 || got["/once/gone"] > 30 {
		t.Errorf("%v", got)
	}
}

// Trailers of a client are its own; what concerns one hop, and what only sidecars may
// say, is no more taken from them than from its headers. No backend is blamed for them.
func TestClientTrailers(t *testing.T) {
	got := make(chan http.Header, 9)
	p := newProxyPair(t, func(v receivedRequest) bool {
		io.Copy(io.Discard, v.Body)
		got <- v.Trailer
		v.respond(v.id, "ok")
		return true
	})
	for _, fields := range []string{
		"X-Sum: 7\r\n", "X-Sum: 7\r\nContent-Length: 3\r\n", "X-Sum: 7\r\nTransfer-Encoding: chunked\r\n",
		"X-Sum: 7\r\nTrailer: x\r\n", "X-Sum: 7\r\nConnection: close\r\n", "X-Sum: 7\r\n" + HeaderCaller + ": forged\r\n",
	} {
		c := p.client(t)
		c.send("POST /once/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n%s\r\n", fields)
		resp, body := c.receive()
		if resp == nil || resp.StatusCode != 200 || body != "ok" {
			t.Errorf("%q: %+v %q", fields, resp, body)
			continue
		}
		if h := <-got; len(h) != 1 || h.Get("X-Sum") != "7" {
			t.Errorf("%q came as %v", fields, h)
		}
	}
}

// A client that knows no chunks is told the length of an answer that has trailers.
func TestTrailersForAnOldClient(t *testing.T) {
	p := newProxyPair(t, func(v receivedRequest) bool {
		io.WriteString(v.w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\nFor: "+v.id+"\r\n\r\n2\r\nok\r\n0\r\nSum: 7\r\n\r\n")
		return true
	})
	c := p.client(t)
	c.send("GET /look/x HTTP/1.0\r\nHost: x\r\n\r\n")
	resp, body := c.receive()
	if resp == nil || resp.StatusCode != 200 || body != "ok" || resp.ContentLength != 2 {
		t.Errorf("%+v %q", resp, body)
	}
}
