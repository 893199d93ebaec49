package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

// promptTimeout is the time limit for effects of a client's disconnection. It is well below the 3 s
// that a request of these tests may take.
const promptTimeout = time.Second

// waitFor waits until ok returns true, and fails the test after promptTimeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	timeout := time.After(promptTimeout)
	for !ok() {
		select {
		case <-tick.C:
		case <-timeout:
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// waitForClose reads from a backend's connection until the sidecar closes it.
func waitForClose(r receivedRequest) {
	var b [1]byte
	for {
		if _, err := r.conn.Read(b[:]); err != nil {
			return
		}
	}
}

// TestClientDisconnects checks that the proxy cancels what it may cancel when a client disconnects:
// an idempotent run on its backend, and any attempt that has not reached a backend. A run that is
// not idempotent and has begun must continue.
func TestClientDisconnects(t *testing.T) {
	t.Run("an idempotent run is stopped", testIdempotentRunStopped)
	t.Run("an idempotent run with a body is stopped", testIdempotentRunWithBodyStopped)
	t.Run("a non-idempotent run continues", testNonIdempotentRunContinues)
	for _, uri := range []string{"/look/waits", "/once/waits"} {
		t.Run("a queued attempt does not run: "+uri, func(t *testing.T) { testQueuedNotRun(t, uri) })
	}
	t.Run("a request that waits for a backend is not sent", testWaitingNotSent)
	// The peer can no longer receive replies to its attempts. It cancels the attempts that it still
	// can, and the other attempts must end as well.
	for _, cancels := range []bool{true, false} {
		t.Run(fmt.Sprintf("the connection to the peer breaks, peer cancels %v", cancels), func(t *testing.T) { testPeerDisconnects(t, cancels) })
	}
}

// newHangingPair returns a pair whose backend never responds. It signals each received request on
// received, and each stopped request on stopped.
func newHangingPair(t *testing.T) (p *proxyPair, received, stopped chan bool) {
	t.Helper()
	received, stopped = make(chan bool, 9), make(chan bool, 9)
	return newProxyPair(t, func(r receivedRequest) bool {
		if r.ContentLength > 0 {
			io.Copy(io.Discard, r.Body)
		}
		received <- true
		waitForClose(r)
		stopped <- true
		return false
	}), received, stopped
}

func testIdempotentRunStopped(t *testing.T) {
	p, received, stopped := newHangingPair(t)
	p.outbound.EjectionTime = time.Hour
	c := p.client(t)
	c.send("GET /look/x HTTP/1.1\r\nHost: x\r\n\r\n")
	<-received
	c.Close()
	waitFor(t, "the backend's connection to be closed", func() bool { return len(stopped) > 0 })
	waitFor(t, "the request to end", func() bool { return p.outbound.Counters.InFlight.Load() == 0 })
	if n := p.receivedURIs()["/look/x"]; n != 1 {
		t.Errorf("the request was sent %d times, want 1", n)
	}
	if p.outbound.View().Service("desk")[0].Load.Ejected() {
		t.Error("the backend was ejected because the client disconnected")
	}
}

func testIdempotentRunWithBodyStopped(t *testing.T) {
	p, received, stopped := newHangingPair(t)
	c := p.client(t)
	c.send("POST /look/x HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n%040000d", 0)
	<-received
	c.Close()
	waitFor(t, "the backend's connection to be closed", func() bool { return len(stopped) > 0 })
}

func testNonIdempotentRunContinues(t *testing.T) {
	received, release, readErr := make(chan bool, 9), make(chan bool), make(chan error, 9)
	p := newProxyPair(t, func(r receivedRequest) bool {
		io.Copy(io.Discard, r.Body)
		received <- true
		<-release
		r.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := r.conn.Read(make([]byte, 1))
		readErr <- err
		r.respond(r.id, "ok")
		return true
	})
	c := p.client(t)
	c.send("POST /once/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
	<-received
	c.Close()
	waitFor(t, "the inbound side to handle the cancellation", func() bool { return p.inbound.Counters.LeftRunning.Load() == 1 })
	close(release)
	if err := <-readErr; err == io.EOF {
		t.Error("the connection to the backend was closed")
	}
	waitFor(t, "the run to end", func() bool { return p.inbound.Counters.Answered.Load() == 1 })
}

func testQueuedNotRun(t *testing.T, uri string) {
	received, release := make(chan bool, 9), make(chan bool)
	p := newProxyPair(t, func(r receivedRequest) bool {
		io.Copy(io.Discard, r.Body)
		received <- true
		<-release
		r.respond(r.id, "ok")
		return true
	})
	registry, _ := endpoints.Registry{}.Announce(endpoints.Announcement{Instance: "a", Service: "desk", Address: p.endpoint.Address, Capacity: 1}, "north", time.Now())
	p.inbound.Endpoints = func() endpoints.Registry { return registry }
	outstanding := func(n int64) func() bool {
		return func() bool { return registry.Endpoints()[0].Admission.Outstanding() == n }
	}
	first, second := p.client(t), p.client(t)
	first.send("POST /once/first HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	<-received
	second.send("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", uri)
	waitFor(t, "the second request to be queued", outstanding(2))
	second.Close()
	waitFor(t, "the second request to leave the queue", outstanding(1))
	close(release)
	if resp, _ := first.receive(); resp == nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got response %+v to the first request, want status 200", resp)
	}
	first.send("POST /once/third HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	if resp, _ := first.receive(); resp == nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got response %+v to the third request, want status 200", resp)
	}
	if n := p.receivedURIs()[uri]; n != 0 {
		t.Errorf("the request reached the backend %d times, want 0", n)
	}
}

func testWaitingNotSent(t *testing.T) {
	p := newProxyPair(t, respondOK)
	full, empty := p.outbound.View(), membership.NewView(nil, nil)
	var view atomic.Pointer[membership.View]
	view.Store(empty)
	p.outbound.View, p.outbound.WaitShare = view.Load, 10
	c := p.client(t)
	c.send("GET /look/waiting HTTP/1.1\r\nHost: x\r\n\r\n")
	waitFor(t, "the request to wait", func() bool { return p.outbound.Counters.InFlight.Load() == 1 })
	c.Close()
	waitFor(t, "the request to end", func() bool { return p.outbound.Counters.InFlight.Load() == 0 })
	view.Store(full)
	if resp, _ := p.get(t, "/look/other"); resp == nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got response %+v to another request, want status 200", resp)
	}
	if n := p.receivedURIs()["/look/waiting"]; n != 0 {
		t.Errorf("the request reached the backend %d times, want 0", n)
	}
}

func testPeerDisconnects(t *testing.T, cancels bool) {
	p, received, stopped := newHangingPair(t)
	if cancels {
		c := p.client(t)
		c.send("GET /look/x HTTP/1.1\r\nHost: x\r\n\r\n")
	} else {
		p.attempt(Attempt{ID: "abandoned", Idempotent: true, Method: "GET", URI: "/look/x"})
	}
	<-received
	p.closeConnections()
	waitFor(t, "the backend's connection to be closed", func() bool { return len(stopped) > 0 })
}

// attempt sends an attempt like a peer that neither waits for the reply nor cancels the attempt.
func (p *proxyPair) attempt(attempt Attempt) {
	attempt.Service, attempt.Instance, attempt.Incarnation = "desk", "a", 7
	attempt.Timeout, attempt.TimeToTarget = 3*time.Second, 3*time.Second
	node := p.outbound.View().Nodes()[0].Addr
	go p.outbound.Transport.Call(context.Background(), node, transport.RequestTraffic, KindAttempt, attempt)
}

// get requests a URI on a new connection.
func (p *proxyPair) get(t *testing.T, uri string) (*http.Response, string) {
	t.Helper()
	c := p.client(t)
	c.send("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", uri)
	return c.receive()
}
