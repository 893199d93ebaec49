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

// echoDialect is a dialect of backends that name the request they answer.
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

// receivedRequest is one request at a stand-in backend.
type receivedRequest struct {
	*http.Request
	id string
	// conn and n count connections at the backend, and requests on this one.
	conn, n int64
	w       net.Conn
}

// respond answers a visit, in the name of a request.
func (v receivedRequest) respond(id, body string, header ...string) {
	io.WriteString(v.w, responseText(id, body, header...))
}

func responseText(id, body string, header ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nFor: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, strings.Join(append(header, ""), "\r\n"), len(body), body)
}

// fakeBackend is a far side with one stand-in backend, which answers by speak until that
// is false; then it closes.
type fakeBackend struct {
	inbound *Inbound
	entry   endpoints.Endpoint
	opens   atomic.Int64
	mu      sync.Mutex
	runs    map[string]int
	// targets counts the request targets that came.
	targets map[string]int
	// closed tells of each of its connections that it is over.
	closed chan bool
}

func newFakeBackend(t testing.TB, speak func(v receivedRequest) bool) *fakeBackend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeBackend{runs: map[string]int{}, targets: map[string]int{}, closed: make(chan bool, 1<<16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := b.opens.Add(1)
			go func() {
				defer func() { c.Close(); b.closed <- true }()
				in := bufio.NewReader(c)
				for k := int64(1); ; k++ {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					id := req.Header.Get("Ask")
					b.mu.Lock()
					b.runs[id]++
					b.targets[req.RequestURI]++
					b.mu.Unlock()
					if !speak(receivedRequest{req, id, n, k, c}) {
						return
					}
					io.Copy(io.Discard, req.Body)
				}
			}()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	f := NewInbound(ctx, InboundConfig{}, InboundDeps{Actors: actors, Bodies: &BodyLimiter{MaxBody: 1 << 20, MaxTotal: 1 << 30}, Dialect: echoDialect{}})
	f.pool.isCurrent = func(backendAddress) bool { return true }
	table, _ := routing.NewTable(config.ControlState{})
	f.Table = func() *routing.Table { return table }
	b.inbound = f
	b.entry = endpoints.Endpoint{Backend: membership.Backend{Instance: "a", Address: ln.Addr().String(), Capacity: 8}}
	t.Cleanup(func() {
		cancel()
		ln.Close()
		<-actors.Done()
		actors.Stop()
	})
	return b
}

var attempts atomic.Int64

// send puts an attempt to the backend, as carry does.
func (b *fakeBackend) send(attempt Attempt, check func() endpoints.Rejection) AttemptResponse {
	if attempt.ID == "" {
		attempt.ID = fmt.Sprint("leg-", attempts.Add(1))
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
	g := &writeGuard{check: func() refusal { return refusal{rejection: check()} }}
	response := b.inbound.exchange(ctx, b.entry, &attempt, trace.Root(), g)
	if response.Outcome == routing.Unknown && g.close() {
		response.Outcome = routing.NotRun
	}
	return response
}

// mustAnswer puts an attempt that must be answered by its own answer.
func (b *fakeBackend) mustAnswer(t *testing.T, attempt Attempt) {
	t.Helper()
	attempt.ID = fmt.Sprint("leg-", attempts.Add(1))
	response := b.send(attempt, nil)
	if response.Outcome != routing.Answered || response.Header.Get("For") != attempt.ID {
		t.Fatalf("%s got %v %q, answer to %q", attempt.ID, response.Outcome, response.Reason, response.Header.Get("For"))
	}
}

// idleConn is the one idle link.
func (b *fakeBackend) idleConn(t *testing.T) *backendConn {
	t.Helper()
	b.inbound.pool.mu.Lock()
	defer b.inbound.pool.mu.Unlock()
	for _, s := range b.inbound.pool.entries {
		if len(s.idle) == 1 && s.inUse == 0 {
			return s.idle[0]
		}
	}
	t.Fatal("there is not one idle link")
	return nil
}

func respondOK(v receivedRequest) bool {
	io.Copy(io.Discard, v.Body)
	v.respond(v.id, "ok")
	return true
}
