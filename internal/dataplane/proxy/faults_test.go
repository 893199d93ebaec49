package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/transport"
)

// A backend that resets the connection at any point of an exchange leaves unknown whether the
// request has run; it is sent once, and the next attempt has a new connection.
func TestBackendResets(t *testing.T) {
	reset := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) }
	for name, speak := range map[string]func(r receivedRequest) bool{
		"unread": func(r receivedRequest) bool { reset(r.conn); return false },
		"read": func(r receivedRequest) bool {
			io.Copy(io.Discard, r.Body)
			reset(r.conn)
			return false
		},
		"in its head": func(r receivedRequest) bool {
			io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nFor: "+r.id+"\r\nConte")
			reset(r.conn)
			return false
		},
		"in its body": func(r receivedRequest) bool {
			io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nFor: "+r.id+"\r\nContent-Length: 100\r\n\r\nhalf")
			reset(r.conn)
			return false
		},
		"in a chunk": func(r receivedRequest) bool {
			io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nFor: "+r.id+"\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf")
			reset(r.conn)
			return false
		},
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %v", name, reused), func(t *testing.T) {
				for _, size := range []int{1, 300 << 10} {
					b := newFakeBackend(t, func(r receivedRequest) bool {
						if strings.HasPrefix(r.id, "broken") {
							return speak(r)
						}
						return respondOK(r)
					})
					if reused {
						b.mustAnswer(t, Attempt{})
					}
					response := b.send(Attempt{ID: "broken", Body: make([]byte, size)}, nil)
					if response.Outcome != routing.Unknown || len(response.Body) > 0 || response.Status != 0 {
						t.Errorf("%+v", response)
					}
					b.mustAnswer(t, Attempt{})
					b.mu.Lock()
					if b.runs["broken"] != 1 {
						t.Errorf("it was sent %d times", b.runs["broken"])
					}
					b.mu.Unlock()
					if b.connections.Load() != 2 {
						t.Errorf("%d connections", b.connections.Load())
					}
				}
			})
		}
	}
}

// A reply of the inbound side that this version does not understand tells nothing: the outcome is
// unknown, and a request that is not idempotent is neither said not to have run nor sent again.
func TestResponseNotUnderstood(t *testing.T) {
	for name, response := range map[string]AttemptResponse{
		"no outcome":              {Reason: "x"},
		"an unknown outcome":      {Outcome: "half-run", Status: 200},
		"no status":               {Outcome: routing.Answered},
		"a status too high":       {Outcome: routing.Answered, Status: 1000},
		"an informational status": {Outcome: routing.Answered, Status: 100},
		"another attempt's":       {ID: "another's", Outcome: routing.Answered, Status: 200, Body: []byte("another's")},
		"another's refusal":       {ID: "another's", Outcome: routing.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			attempts := 0
			p := newProxyPairWith(t, respondOK, func(h map[string]transport.Handler) {
				h[KindAttempt] = func(_ context.Context, request transport.Request) (any, error) {
					var attempt Attempt
					request.Decode(&attempt)
					attempts++
					out := response
					if out.ID == "" {
						out.ID = attempt.ID
					}
					return out, nil
				}
				h[KindCancel] = func(context.Context, transport.Request) (any, error) { return nil, errors.New("not known") }
			})
			c := p.client(t)
			c.send("POST /once/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
			resp, body := c.receive()
			if resp == nil || resp.StatusCode != 502 || resp.Header.Get(HeaderOutcome) != string(routing.Unknown) || attempts != 1 {
				t.Errorf("%+v %s after %d attempts", resp, body, attempts)
			}
		})
	}
}

// An attempt that no HTTP request can be made of is not begun, and so is known not to have run.
func TestAttemptNotUnderstood(t *testing.T) {
	for name, attempt := range map[string]Attempt{
		"two lines in its method": {Method: "GET / HTTP/1.1\r\nX: y\r\n\r\nGET", URI: "/look/"},
		"no method":               {URI: "/look/"},
		"two words in its target": {Method: "GET", URI: "/look/ HTTP/1.1"},
		"two lines in its target": {Method: "GET", URI: "/look/\r\nX: y"},
		"no target":               {Method: "GET"},
		"two lines in its host":   {Method: "GET", URI: "/look/", Host: "x\r\nX: y"},
		"a trailer of one hop":    {Method: "POST", URI: "/look/", Trailer: http.Header{"Content-Length": {"3"}}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxyPair(t, respondOK)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			attempt.ID, attempt.Service, attempt.Instance, attempt.Incarnation, attempt.Timeout, attempt.TimeToTarget = "odd", "desk", "a", 7, time.Second, time.Second
			node := p.outbound.View().Nodes()[0].Addr
			r := p.outbound.Transport.Call(ctx, node, transport.RequestTraffic, KindAttempt, attempt)
			if r.Delivery != transport.Answered || r.Fault == "" {
				t.Errorf("%+v", r)
			}
			var response AttemptResponse
			if r := p.outbound.Transport.Call(ctx, node, transport.ControlTraffic, KindCancel, CancelRequest{ID: "odd", Incarnation: 7}); !r.Decode(&response) || response.Outcome != routing.NotRun {
				t.Errorf("canceled: %+v", response)
			}
			if len(p.receivedURIs()) > 0 {
				t.Errorf("it came to the backend: %v", p.receivedURIs())
			}
		})
	}
}

// timedOutBody is a body whose client has stopped sending.
type timedOutBody struct{}

func (timedOutBody) Read([]byte) (int, error) {
	return 0, fmt.Errorf("read: %w", os.ErrDeadlineExceeded)
}
func (timedOutBody) Close() error { return nil }

// A client that does not send its whole body is told that it took too long, and that nothing has
// run.
func TestBodyTakesTooLong(t *testing.T) {
	p := newProxyPair(t, respondOK)
	r := httptest.NewRequest("POST", "/once/x", timedOutBody{})
	r.ContentLength = 10
	if response := p.outbound.serve("", r); response.Status != http.StatusRequestTimeout || response.Outcome != routing.NotRun {
		t.Errorf("%+v", response)
	}
}

// An attempt lies unread at an inbound side whose connection has broken. If it is canceled before
// it is read, it is said not to have run, and never runs; if the cancellation does not arrive
// either, its outcome is unknown, and it runs once at most.
func TestAttemptReadAfterItsCancel(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancellation arrives %v", arrives), func(t *testing.T) {
			came, woken, ended := make(chan struct{}, 9), make(chan struct{}), make(chan AttemptResponse, 9)
			p := newProxyPairWith(t, respondOK, func(h map[string]transport.Handler) {
				handleAttempt, handleCancel := h[KindAttempt], h[KindCancel]
				h[KindAttempt] = func(ctx context.Context, request transport.Request) (any, error) {
					came <- struct{}{}
					<-woken
					reply, err := handleAttempt(ctx, request)
					ended <- reply.(AttemptResponse)
					return reply, err
				}
				h[KindCancel] = func(ctx context.Context, request transport.Request) (any, error) {
					if !arrives {
						<-woken
					}
					return handleCancel(ctx, request)
				}
			})
			c := p.client(t)
			c.send("POST /once/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
			<-came
			p.closeConnections()
			resp, body := c.receive()
			status, outcome := 503, routing.NotRun
			if !arrives {
				status, outcome = 502, routing.Unknown
			}
			if resp == nil || resp.StatusCode != status || resp.Header.Get(HeaderOutcome) != string(outcome) {
				t.Errorf("%+v %s", resp, body)
			}
			close(woken)
			response := <-ended
			if arrives && (response.Outcome == routing.Answered || len(p.receivedURIs()) > 0) {
				t.Errorf("it was said not to have run, and came to %+v", response)
			}
			if p.receivedURIs()["/once/x"] > 1 || len(came) > 0 {
				t.Errorf("it was sent again: %v, %d more attempts", p.receivedURIs(), len(came))
			}
		})
	}
}
