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

// TestBackendResets checks that after a backend resets the connection at any point of an exchange,
// the outcome is unknown, the request is sent only once, and the next attempt uses a new
// connection.
func TestBackendResets(t *testing.T) {
	reset := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) }
	for name, respond := range map[string]func(r receivedRequest) bool{
		"before the request is read": func(r receivedRequest) bool { reset(r.conn); return false },
		"after the request is read": func(r receivedRequest) bool {
			io.Copy(io.Discard, r.Body)
			reset(r.conn)
			return false
		},
		"within the response head": func(r receivedRequest) bool {
			io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nFor: "+r.id+"\r\nConte")
			reset(r.conn)
			return false
		},
		"within the response body": func(r receivedRequest) bool {
			io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nFor: "+r.id+"\r\nContent-Length: 100\r\n\r\nhalf")
			reset(r.conn)
			return false
		},
		"within a chunk": func(r receivedRequest) bool {
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
							return respond(r)
						}
						return respondOK(r)
					})
					if reused {
						b.mustAnswer(t, Attempt{})
					}
					response := b.send(Attempt{ID: "broken", Body: make([]byte, size)}, nil)
					if response.Outcome != routing.Unknown || len(response.Body) > 0 || response.Status != 0 {
						t.Errorf("response %+v, want an unknown outcome and no response", response)
					}
					b.mustAnswer(t, Attempt{})
					b.mu.Lock()
					if b.runs["broken"] != 1 {
						t.Errorf("the request was sent %d times, want 1", b.runs["broken"])
					}
					b.mu.Unlock()
					if b.connections.Load() != 2 {
						t.Errorf("%d connections, want 2", b.connections.Load())
					}
				}
			})
		}
	}
}

// TestInvalidAttemptResponse checks that a reply of the inbound side that this version cannot
// interpret proves nothing. The outcome must be unknown, and a request that is not idempotent must
// be neither reported as not run nor retried.
func TestInvalidAttemptResponse(t *testing.T) {
	for name, response := range map[string]AttemptResponse{
		"no outcome":                  {Reason: "x"},
		"unknown outcome":             {Outcome: "half-run", Status: 200},
		"no status":                   {Outcome: routing.Answered},
		"status too high":             {Outcome: routing.Answered, Status: 1000},
		"informational status":        {Outcome: routing.Answered, Status: 100},
		"response to another attempt": {ID: "another's", Outcome: routing.Answered, Status: 200, Body: []byte("another's")},
		"refusal of another attempt":  {ID: "another's", Outcome: routing.NotRun},
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
				t.Errorf("got response %+v %s after %d attempts, want 502 after 1 attempt", resp, body, attempts)
			}
		})
	}
}

// TestInvalidAttempt checks that an attempt that cannot be converted to an HTTP request does not
// begin, and is reported as not run.
func TestInvalidAttempt(t *testing.T) {
	for name, attempt := range map[string]Attempt{
		"line break in the method": {Method: "GET / HTTP/1.1\r\nX: y\r\n\r\nGET", URI: "/look/"},
		"no method":                {URI: "/look/"},
		"space in the target":      {Method: "GET", URI: "/look/ HTTP/1.1"},
		"line break in the target": {Method: "GET", URI: "/look/\r\nX: y"},
		"no target":                {Method: "GET"},
		"line break in the host":   {Method: "GET", URI: "/look/", Host: "x\r\nX: y"},
		"hop-by-hop trailer":       {Method: "POST", URI: "/look/", Trailer: http.Header{"Content-Length": {"3"}}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxyPair(t, respondOK)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			attempt.ID, attempt.Service, attempt.Instance, attempt.Incarnation, attempt.Timeout, attempt.TimeToTarget = "odd", "desk", "a", 7, time.Second, time.Second
			node := p.outbound.View().Nodes()[0].Addr
			r := p.outbound.Transport.Call(ctx, node, transport.RequestTraffic, KindAttempt, attempt)
			if r.Delivery != transport.Answered || r.ErrorText == "" {
				t.Errorf("got reply %+v, want an error reply", r)
			}
			var response AttemptResponse
			if r := p.outbound.Transport.Call(ctx, node, transport.ControlTraffic, KindCancel, CancelRequest{ID: "odd", Incarnation: 7}); !r.Decode(&response) || response.Outcome != routing.NotRun {
				t.Errorf("reply to the cancellation is %+v, want not-run", response)
			}
			if len(p.receivedURIs()) > 0 {
				t.Errorf("requests reached the backend: %v", p.receivedURIs())
			}
		})
	}
}

// timedOutBody is the body of a client that has stopped sending.
type timedOutBody struct{}

func (timedOutBody) Read([]byte) (int, error) {
	return 0, fmt.Errorf("read: %w", os.ErrDeadlineExceeded)
}
func (timedOutBody) Close() error { return nil }

// TestBodyTimeout checks that a client that does not send its whole body in time gets a time-out
// status, and that its request is reported as not run.
func TestBodyTimeout(t *testing.T) {
	p := newProxyPair(t, respondOK)
	r := httptest.NewRequest("POST", "/once/x", timedOutBody{})
	r.ContentLength = 10
	if response := p.outbound.serve("", r); response.Status != http.StatusRequestTimeout || response.Outcome != routing.NotRun {
		t.Errorf("got response %+v, want a time-out that was not run", response)
	}
}

// TestAttemptReadAfterCancel checks an attempt that the inbound side has not handled yet when the
// connection between the sides breaks. If the attempt is canceled before it is handled, it must be
// reported as not run, and must never run. If the cancellation does not arrive either, the outcome
// must be unknown, and the attempt must run at most once.
func TestAttemptReadAfterCancel(t *testing.T) {
	for _, cancelArrives := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancellation arrives %v", cancelArrives), func(t *testing.T) {
			arrived, release, replies := make(chan struct{}, 9), make(chan struct{}), make(chan AttemptResponse, 9)
			p := newProxyPairWith(t, respondOK, func(h map[string]transport.Handler) {
				handleAttempt, handleCancel := h[KindAttempt], h[KindCancel]
				h[KindAttempt] = func(ctx context.Context, request transport.Request) (any, error) {
					arrived <- struct{}{}
					<-release
					reply, err := handleAttempt(ctx, request)
					replies <- reply.(AttemptResponse)
					return reply, err
				}
				h[KindCancel] = func(ctx context.Context, request transport.Request) (any, error) {
					if !cancelArrives {
						<-release
					}
					return handleCancel(ctx, request)
				}
			})
			c := p.client(t)
			c.send("POST /once/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
			<-arrived
			p.closeConnections()
			resp, body := c.receive()
			status, outcome := 503, routing.NotRun
			if !cancelArrives {
				status, outcome = 502, routing.Unknown
			}
			if resp == nil || resp.StatusCode != status || resp.Header.Get(HeaderOutcome) != string(outcome) {
				t.Errorf("got response %+v %s, want 503 and not-run if the cancellation arrives, 502 and unknown otherwise", resp, body)
			}
			close(release)
			response := <-replies
			if cancelArrives && (response.Outcome == routing.Answered || len(p.receivedURIs()) > 0) {
				t.Errorf("the attempt was reported as not run, but its reply is %+v", response)
			}
			if p.receivedURIs()["/once/x"] > 1 || len(arrived) > 0 {
				t.Errorf("the request was retried: %v, %d more attempts", p.receivedURIs(), len(arrived))
			}
		})
	}
}
