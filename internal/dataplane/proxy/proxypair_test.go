package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
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

// proxyPair is an outbound side and an inbound side connected to each other, with a fake backend.
// Requests under "/once/" are not idempotent, and requests under "/look/" are.
type proxyPair struct {
	*fakeBackend
	outbound *Outbound
	// addr is the address for clients.
	addr string
	// closeConnections closes the open connections between the two sides.
	closeConnections func()
}

const proxyPairConfiguration = `{"ways": [
	{"name": "once", "prefix": "/once/", "service": "desk", "contract": "c"},
	{"name": "look", "prefix": "/look/", "service": "desk", "contract": "c", "repeatable": true}],
	"contracts": [{"name": "c", "rank": 1, "aim": "1s", "expiry": "3s"}]}`

// newProxyPair starts a pair whose backend handles requests with handle.
func newProxyPair(t testing.TB, handle func(r receivedRequest) bool) *proxyPair {
	t.Helper()
	return newProxyPairWith(t, handle, func(map[string]transport.Handler) {})
}

// recordingListener is a listener that records the connections that it has accepted.
type recordingListener struct {
	net.Listener
	mu   sync.Mutex
	open []net.Conn
}

// Accept implements net.Listener.
func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, conn)
	return conn, err
}

// closeAll closes the connections accepted so far.
func (l *recordingListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.open {
		if conn != nil {
			conn.Close()
		}
	}
	l.open = nil
}

// newProxyPairWith starts a pair, and lets intercept change the handlers of the inbound side.
func newProxyPairWith(t testing.TB, handle func(r receivedRequest) bool, intercept func(map[string]transport.Handler)) *proxyPair {
	t.Helper()
	p := &proxyPair{fakeBackend: newFakeBackend(t, handle)}
	ctx, cancel := context.WithCancel(context.Background())
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	table, ok := routing.NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: []byte(proxyPairConfiguration)})
	if !ok {
		t.Fatal("invalid configuration")
	}
	spans, tracker := trace.NewQueue("outbound", 1, 16), causality.NewTracker()
	actors.Go(ctx, "causality", tracker.Run)
	p.setUpInbound(table, spans, tracker)
	node := p.startServer(ctx, t, actors, intercept)
	p.setUpOutbound(ctx, actors, table, spans, tracker, membership.NewView(map[string]membership.Node{node.Addr: node}, nil))
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

// setUpInbound configures the fake backend's inbound side to admit attempts as incarnation 7.
func (p *proxyPair) setUpInbound(table *routing.Table, spans *trace.Queue, tracker *causality.Tracker) {
	in := p.inbound
	in.Incarnation, in.Spans, in.Causality = 7, spans, tracker
	in.Draining, in.LeaseHeld = func() bool { return false }, func() bool { return true }
	in.Table = func() *routing.Table { return table }
	in.Endpoints = func() endpoints.Registry {
		registry, _ := endpoints.Registry{}.Announce(endpoints.Announcement{Instance: "a", Service: "desk", Address: p.endpoint.Address, Capacity: 8}, "north", time.Now())
		return registry
	}
}

// startServer starts a transport server for the inbound side, and returns its node.
func (p *proxyPair) startServer(ctx context.Context, t testing.TB, actors *actor.System, intercept func(map[string]transport.Handler)) membership.Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	recording := &recordingListener{Listener: listener}
	p.closeConnections = recording.closeAll
	handlers := map[string]transport.Handler{KindAttempt: p.inbound.HandleAttempt, KindCancel: p.inbound.HandleCancel}
	intercept(handlers)
	server := &transport.Server{Actors: actors, Listener: recording, Handlers: handlers}
	actors.Go(ctx, "server", server.Run)
	return membership.Node{Addr: listener.Addr().String(), Incarnation: 7, Zone: "north", Backends: []membership.Backend{
		{Instance: "a", Service: "desk", Address: p.endpoint.Address, Zone: "north", Capacity: 8, CapacityShare: 1},
	}}
}

// setUpOutbound creates the outbound side, which sends to the members of a view.
func (p *proxyPair) setUpOutbound(ctx context.Context, actors *actor.System, table *routing.Table, spans *trace.Queue, tracker *causality.Tracker, view *membership.View) {
	p.outbound = NewOutbound(OutboundConfig{
		Zone: "north", EjectionTime: time.Millisecond, MinRetryAfter: 100 * time.Millisecond,
	}, OutboundDeps{
		Table: func() *routing.Table { return table }, View: func() *membership.View { return view },
		Transport: transport.NewClient(actors, transport.Hello{}, nil), Actors: actors, Spans: spans, Log: slog.New(slog.DiscardHandler),
		Causality: tracker, Bodies: &BodyLimiter{MaxBody: 1 << 20, MaxTotal: 8 << 20},
		RetryBudgets: retrybudget.NewServiceBudgets("outbound", 20), LatencyBudgets: retrybudget.NewLatencyBudgets(), Latencies: routing.NewLatencyTable(),
		Dialect: echoDialect{}, Lifetime: ctx, RefusesClients: func() bool { return false },
	})
	actors.Go(ctx, "client", p.outbound.Transport.Run)
}

// testClient is a raw connection of a client.
type testClient struct {
	t testing.TB
	*net.TCPConn
	reader *bufio.Reader
}

// client opens a connection, which is closed at the end of the test.
func (p *proxyPair) client(t testing.TB) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{t, conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// send writes to the sidecar. It ignores errors, because the sidecar may have stopped reading.
func (c *testClient) send(format string, args ...any) { fmt.Fprintf(c, format, args...) }

// receive reads the next response. It returns nil if the connection has ended.
func (c *testClient) receive() (resp *http.Response, body string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, ""
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("response with status %d is incomplete: %v", resp.StatusCode, err)
	}
	return resp, string(b)
}

// receivedURIs returns how many requests the backend has received, by request target.
func (p *proxyPair) receivedURIs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.targets)
}
