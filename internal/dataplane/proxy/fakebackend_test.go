package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/trace"
)

// echoDialect is a dialect for backends whose responses name the attempt that they answer.
type echoDialect struct{ DefaultDialect }

func (echoDialect) SetBackendHeaders(h http.Header, attempt *Attempt, _ time.Duration) {
	h.Set("Ask", attempt.ID)
}

func (echoDialect) ClassifyResponse(attempt *Attempt, _ int, h http.Header) ResponseClass {
	switch {
	case h.Get("For") != attempt.ID:
		return ResponseMismatched
	case h.Get("Declined") != "":
		return ResponseDeclined
	case h.Get("Elsewhere") != "":
		return ResponseMisrouted
	}
	return ResponseValid
}

// receivedRequest is a request received by a fake backend.
type receivedRequest struct {
	*http.Request
	// id is the ID of the attempt.
	id string
	// connNumber is the number of the connection at the backend, and requestNumber the number of
	// the request on this connection. Both start at 1.
	connNumber, requestNumber int64
	conn                      net.Conn
}

// respond writes a response that names the given attempt.
func (r receivedRequest) respond(id, body string, header ...string) {
	io.WriteString(r.conn, responseText(id, body, header...))
}

// responseText returns the bytes of a response that names the given attempt.
func responseText(id, body string, header ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nFor: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, strings.Join(append(header, ""), "\r\n"), len(body), body)
}

// respondOK reads the request and responds with "ok".
func respondOK(r receivedRequest) bool {
	io.Copy(io.Discard, r.Body)
	r.respond(r.id, "ok")
	return true
}

// fakeBackend is a backend with its inbound side.
type fakeBackend struct {
	inbound  *Inbound
	endpoint endpoints.Endpoint
	// connections counts the accepted connections.
	connections atomic.Int64
	// closed receives a value for each connection that has ended.
	closed chan bool

	mu sync.Mutex
	// runs counts the requests by attempt, and targets by request target.
	runs    map[string]int
	targets map[string]int
}

// newFakeBackend starts a backend that handles each request with handle. If handle returns false,
// the backend closes the connection.
func newFakeBackend(t testing.TB, handle func(r receivedRequest) bool) *fakeBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	table, _ := routing.NewTable(config.ControlState{})
	b := &fakeBackend{
		inbound: NewInbound(ctx, InboundConfig{}, InboundDeps{
			Actors: actors, Bodies: &BodyLimiter{MaxBody: 1 << 20, MaxTotal: 1 << 30}, Dialect: echoDialect{}, Table: func() *routing.Table { return table },
		}),
		endpoint: endpoints.Endpoint{Backend: membership.Backend{Instance: "a", Address: listener.Addr().String(), Capacity: 8}},
		closed:   make(chan bool, 1<<16), runs: map[string]int{}, targets: map[string]int{},
	}
	b.inbound.pool.isCurrent = func(backendAddress) bool { return true }
	go b.accept(listener, handle)
	t.Cleanup(func() {
		cancel()
		listener.Close()
		<-actors.Done()
		actors.Stop()
	})
	return b
}

// accept serves connections until the listener is closed.
func (b *fakeBackend) accept(listener net.Listener, handle func(r receivedRequest) bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		number := b.connections.Add(1)
		go func() {
			defer func() { conn.Close(); b.closed <- true }()
			b.serve(conn, number, handle)
		}()
	}
}

// serve handles the requests on one connection.
func (b *fakeBackend) serve(conn net.Conn, number int64, handle func(r receivedRequest) bool) {
	reader := bufio.NewReader(conn)
	for n := int64(1); ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Ask")
		b.mu.Lock()
		b.runs[id]++
		b.targets[req.RequestURI]++
		b.mu.Unlock()
		if !handle(receivedRequest{req, id, number, n, conn}) {
			return
		}
		io.Copy(io.Discard, req.Body)
	}
}

// attemptCount makes the IDs of attempts unique.
var attemptCount atomic.Int64

// send sends an attempt to the backend, as Inbound.forward does. check is called before the write.
// A nil check admits the attempt.
func (b *fakeBackend) send(attempt Attempt, check func() endpoints.Rejection) AttemptResponse {
	if attempt.ID == "" {
		attempt.ID = fmt.Sprint("attempt-", attemptCount.Add(1))
	}
	if attempt.Method == "" {
		attempt.Method = "POST"
	}
	if attempt.Timeout == 0 {
		attempt.Timeout = 5 * time.Second
	}
	attempt.Host, attempt.URI = "desk", "/x"
	ctx, cancel := context.WithTimeout(context.Background(), attempt.Timeout)
	defer cancel()
	if check == nil {
		check = func() endpoints.Rejection { return endpoints.Admitted }
	}
	guard := &writeGuard{check: func() refusal { return refusal{rejection: check()} }}
	response := b.inbound.exchange(ctx, b.endpoint, &attempt, trace.Root(), guard)
	if response.Outcome == routing.Unknown && guard.close() {
		response.Outcome = routing.NotRun
	}
	return response
}

// mustAnswer sends an attempt to the backend, and fails the test if the attempt does not get its
// own response.
func (b *fakeBackend) mustAnswer(t *testing.T, attempt Attempt) {
	t.Helper()
	attempt.ID = fmt.Sprint("attempt-", attemptCount.Add(1))
	response := b.send(attempt, nil)
	if response.Outcome != routing.Answered || response.Header.Get("For") != attempt.ID {
		t.Fatalf("%s: got outcome %v, reason %q, response to %q", attempt.ID, response.Outcome, response.Reason, response.Header.Get("For"))
	}
}

// expectConnections fails the test if the backend has not accepted exactly want connections.
func (b *fakeBackend) expectConnections(t *testing.T, want int64, why string) {
	t.Helper()
	if got := b.connections.Load(); got != want {
		t.Errorf("%s: %d connections, want %d", why, got, want)
	}
}

// idleConn returns the only idle connection.
func (b *fakeBackend) idleConn(t *testing.T) *backendConn {
	t.Helper()
	b.inbound.pool.mu.Lock()
	defer b.inbound.pool.mu.Unlock()
	for _, entry := range b.inbound.pool.entries {
		if len(entry.idle) == 1 && entry.inUse == 0 {
			return entry.idle[0]
		}
	}
	t.Fatal("want exactly one idle connection")
	return nil
}
