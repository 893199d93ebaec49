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

// promptTimeout bounds what must follow from a client's leaving. It is well below the 3 s that a
// request of these tests may take.
const promptTimeout = time.Second

// waitFor waits until ok, and fails the test if that takes too long.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	late := time.After(promptTimeout)
	for !ok() {
		select {
		case <-tick.C:
		case <-late:
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// waitForClose reads from a backend's connection until the sidecar closes it.
func waitForClose(v receivedRequest) {
	var b [1]byte
	for {
		if _, err := v.w.Read(b[:]); err != nil {
			return
		}
	}
}

// A client that leaves stops what may be stopped: a repeatable run at its backend, and
// whatever has not reached one yet. What must run once and was begun goes on.
func TestClientLeaves(t *testing.T) {
	t.Run("a repeatable run is stopped", func(t *testing.T) {
		came, stopped := make(chan bool, 9), make(chan bool, 9)
		p := newProxyPair(t, func(v receivedRequest) bool {
			came <- true
			waitForClose(v)
			stopped <- true
			return false
		})
		p.outbound.EjectionTime = time.Hour
		c := p.client(t)
		c.send("GET /look/x HTTP/1.1\r\nHost: x\r\n\r\n")
		<-came
		c.Close()
		waitFor(t, "the backend's connection to be closed", func() bool { return len(stopped) > 0 })
		waitFor(t, "the request to end", func() bool { return p.outbound.Counters.InFlight.Load() == 0 })
		if n := p.uris()["/look/x"]; n != 1 {
			t.Errorf("it was sent %d times", n)
		}
		if p.outbound.View().Service("desk")[0].Load.Ejected() {
			t.Error("its backend is shunned for what its client did")
		}
	})
	t.Run("a repeatable run with a body is stopped", func(t *testing.T) {
		came, stopped := make(chan bool, 9), make(chan bool, 9)
		p := newProxyPair(t, func(v receivedRequest) bool {
			io.Copy(io.Discard, v.Body)
			came <- true
			waitForClose(v)
			stopped <- true
			return false
		})
		c := p.client(t)
		c.send("POST /look/x HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n%040000d", 0)
		<-came
		c.Close()
		waitFor(t, "the backend's connection to be closed", func() bool { return len(stopped) > 0 })
	})
	t.Run("a run that must not be repeated goes on", func(t *testing.T) {
		came, release, whole := make(chan bool, 9), make(chan bool), make(chan error, 9)
		p := newProxyPair(t, func(v receivedRequest) bool {
			io.Copy(io.Discard, v.Body)
			came <- true
			<-release
			v.w.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := v.w.Read(make([]byte, 1))
			whole <- err
			v.respond(v.id, "ok")
			return true
		})
		c := p.client(t)
		c.send("POST /once/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
		<-came
		c.Close()
		waitFor(t, "the far side to be told", func() bool { return p.inbound.Counters.LeftRunning.Load() == 1 })
		close(release)
		if err := <-whole; err == io.EOF {
			t.Error("the connection to the backend was closed")
		}
		waitFor(t, "the run to end", func() bool { return p.inbound.Counters.Answered.Load() == 1 })
	})
	for _, uri := range []string{"/look/waits", "/once/waits"} {
		t.Run("what waits in line does not run: "+uri, func(t *testing.T) {
			came, release := make(chan bool, 9), make(chan bool)
			p := newProxyPair(t, func(v receivedRequest) bool {
				io.Copy(io.Discard, v.Body)
				came <- true
				<-release
				v.respond(v.id, "ok")
				return true
			})
			table, _ := endpoints.Registry{}.Announce(endpoints.Announcement{Instance: "a", Service: "desk", Address: p.entry.Address, Capacity: 1}, "north", time.Now())
			p.inbound.Endpoints = func() endpoints.Registry { return table }
			first, second := p.client(t), p.client(t)
			first.send("POST /once/first HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
			<-came
			second.send("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", uri)
			waitFor(t, "the second to wait in line", func() bool { return table.Endpoints()[0].Admission.Outstanding() == 2 })
			second.Close()
			waitFor(t, "the second to leave the line", func() bool { return table.Endpoints()[0].Admission.Outstanding() == 1 })
			close(release)
			if resp, _ := first.receive(); resp == nil || resp.StatusCode != http.StatusOK {
				t.Errorf("the first: %+v", resp)
			}
			first.send("POST /once/third HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
			if resp, _ := first.receive(); resp == nil || resp.StatusCode != http.StatusOK {
				t.Errorf("the third: %+v", resp)
			}
			if n := p.uris()[uri]; n != 0 {
				t.Errorf("it came to the backend %d times", n)
			}
		})
	}
	t.Run("what is held for a place is not sent", func(t *testing.T) {
		p := newProxyPair(t, respondOK)
		with, without := p.outbound.View(), membership.NewView(nil, nil)
		var view atomic.Pointer[membership.View]
		view.Store(without)
		p.outbound.View, p.outbound.WaitShare = view.Load, 10
		c := p.client(t)
		c.send("GET /look/held HTTP/1.1\r\nHost: x\r\n\r\n")
		waitFor(t, "the request to be held", func() bool { return p.outbound.Counters.InFlight.Load() == 1 })
		c.Close()
		waitFor(t, "the request to end", func() bool { return p.outbound.Counters.InFlight.Load() == 0 })
		view.Store(with)
		if resp, _ := p.get(t, "/look/other"); resp == nil || resp.StatusCode != http.StatusOK {
			t.Errorf("another: %+v", resp)
		}
		if n := p.uris()["/look/held"]; n != 0 {
			t.Errorf("it came to the backend %d times", n)
		}
	})
	// Nothing that it runs can be answered any more. It recalls what it still can, and what
	// it can't ends all the same.
	for _, recalls := range []bool{true, false} {
		t.Run(fmt.Sprintf("a peer whose connection has broken, recalls %v", recalls), func(t *testing.T) {
			came, stopped := make(chan bool, 9), make(chan bool, 9)
			p := newProxyPair(t, func(v receivedRequest) bool {
				came <- true
				waitForClose(v)
				stopped <- true
				return false
			})
			if recalls {
				c := p.client(t)
				c.send("GET /look/x HTTP/1.1\r\nHost: x\r\n\r\n")
			} else {
				p.attempt(Attempt{ID: "lonely", Idempotent: true, Method: "GET", URI: "/look/x"})
			}
			<-came
			p.closeConnections()
			waitFor(t, "the backend's connection to be closed", func() bool { return len(stopped) > 0 })
		})
	}
}

// attempt sends an attempt as a peer does that does nothing more for it.
func (p *proxyPair) attempt(attempt Attempt) {
	attempt.Service, attempt.Instance, attempt.Incarnation = "desk", "a", 7
	attempt.Timeout, attempt.TimeToTarget = 3*time.Second, 3*time.Second
	node := p.outbound.View().Nodes()[0].Addr
	go p.outbound.Transport.Call(context.Background(), node, transport.RequestTraffic, KindAttempt, attempt)
}

// get asks for a path on a connection of its own.
func (p *proxyPair) get(t *testing.T, uri string) (*http.Response, string) {
	t.Helper()
	c := p.client(t)
	c.send("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", uri)
	return c.receive()
}
