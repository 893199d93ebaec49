package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
)

// A connection that is known to stand between two responses is reused, whatever their form.
func TestConnectionReused(t *testing.T) {
	b := newFakeBackend(t, func(r receivedRequest) bool {
		io.Copy(io.Discard, r.Body)
		switch r.requestNumber % 6 {
		case 0:
			io.WriteString(r.conn, "HTTP/1.1 204 No Content\r\nFor: "+r.id+"\r\n\r\n")
		case 1:
			io.WriteString(r.conn, "HTTP/1.1 304 Not Modified\r\nContent-Length: 77\r\nFor: "+r.id+"\r\n\r\n")
		case 2:
			io.WriteString(r.conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\nFor: "+r.id+"\r\n\r\n2\r\nok\r\n0\r\nSum: 7\r\n\r\n")
		case 3:
			r.respond(r.id, "", "Declined: 1")
		default:
			r.respond(r.id, "ok")
		}
		return true
	})
	for i := range 100 {
		n := i%6 + 1
		attempt := Attempt{ID: fmt.Sprint("reuse-", i), Body: []byte("x")}
		response := b.send(attempt, nil)
		want := routing.Answered
		if n == 3 {
			want = routing.NotRun
		}
		if response.Outcome != want || response.Outcome == routing.Answered && response.Header.Get("For") != attempt.ID || response.ReachedBackend != (n == 3) {
			t.Fatalf("%d: %+v", i, response)
		}
		if n == 2 && (string(response.Body) != "ok" || response.Trailer.Get("Sum") != "7") {
			t.Fatalf("%q, trailer %v", response.Body, response.Trailer)
		}
	}
	if n := b.connections.Load(); n != 1 || b.inbound.ConnectionsOpened() != 1 || b.inbound.ConnectionsReused() != 99 {
		t.Errorf("%d connections were opened for 100 attempts; counted %d and %d", n, b.inbound.ConnectionsOpened(), b.inbound.ConnectionsReused())
	}
}

// The response to HEAD has a length and no body.
func TestConnectionAfterHead(t *testing.T) {
	b := newFakeBackend(t, func(r receivedRequest) bool {
		io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: "+r.id+"\r\n\r\n")
		if r.Method != "HEAD" {
			io.WriteString(r.conn, "ok")
		}
		return true
	})
	for _, m := range []string{"HEAD", "GET", "HEAD", "GET"} {
		b.mustAnswer(t, Attempt{Method: m})
	}
	if n := b.connections.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// A connection that the backend closes, or may close, is not reused.
func TestConnectionNotReused(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		body     bool
	}{
		"close":         {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"old version":   {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"no time":       {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0, max=5\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"odd time":      {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=-x\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"more than it":  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: %s\r\n\r\nokay", true},
		"other answers": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: %s\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: x\r\n\r\nno", true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t, func(r receivedRequest) bool { fmt.Fprintf(r.conn, c.response, r.id); return true })
			for range 5 {
				b.mustAnswer(t, Attempt{Idempotent: true})
			}
			if n := b.connections.Load(); n != 5 {
				t.Errorf("%d connections were opened for 5 attempts", n)
			}
		})
	}
}

// A connection is reused after an idle time of at most half of what the backend says, and of the
// own maximum; for an attempt that is not idempotent, of less.
func TestConnectionIdleTime(t *testing.T) {
	b := newFakeBackend(t, func(r receivedRequest) bool {
		r.respond(r.id, "ok", "Keep-Alive: timeout=6, max=9")
		return true
	})
	b.mustAnswer(t, Attempt{})
	age := func(d time.Duration) { conn := b.idleConn(t); conn.idleSince = time.Now().Add(-d) }
	age(900 * time.Millisecond)
	b.mustAnswer(t, Attempt{})
	b.expectConnections(t, 1, "not idempotent, idle for a short time")
	age(1100 * time.Millisecond)
	b.mustAnswer(t, Attempt{Idempotent: true})
	b.expectConnections(t, 1, "idempotent, idle for longer")
	age(3100 * time.Millisecond)
	b.mustAnswer(t, Attempt{Idempotent: true})
	b.expectConnections(t, 2, "idempotent, idle for over half of what the backend said")
	b.endpoint.Capacity = 1
	age(1100 * time.Millisecond)
	b.mustAnswer(t, Attempt{})
	b.expectConnections(t, 3, "not idempotent, idle for longer")
	b.idleConn(t) // only one: the older one was closed
}

// A response to another request, in the place of the one that is due, is skipped; after it, the
// connection is not reused.
func TestMismatchedResponses(t *testing.T) {
	for mismatched, want := range []routing.Outcome{routing.Answered, routing.Answered, routing.Answered, routing.Unknown} {
		b := newFakeBackend(t, func(r receivedRequest) bool {
			if r.requestNumber == 2 {
				for range mismatched {
					r.respond("earlier", "a late response")
				}
			}
			r.respond(r.id, "ok")
			return true
		})
		b.mustAnswer(t, Attempt{})
		attempt := Attempt{ID: "second"}
		response := b.send(attempt, nil)
		if response.Outcome != want || want == routing.Answered && (response.Header.Get("For") != attempt.ID || string(response.Body) != "ok") {
			t.Errorf("%d mismatched: %v %q %q", mismatched, response.Outcome, response.Reason, response.Body)
		}
		b.mustAnswer(t, Attempt{})
		if n := b.connections.Load(); n != int64(min(mismatched, 1)+1) {
			t.Errorf("%d mismatched: %d connections", mismatched, n)
		}
	}
}

// Where a connection has carried a HEAD request, nobody knows whether a response to another
// request has a body: what looks like the own one behind it may be bytes of a body.
func TestMismatchedResponseAfterHead(t *testing.T) {
	b := newFakeBackend(t, func(r receivedRequest) bool {
		if r.Method == "HEAD" {
			io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: "+r.id+"\r\n\r\n")
			return true
		}
		own := responseText(r.id, responseText(r.id, "forged"))
		head := strings.Index(own, "\r\n\r\n") + 4
		fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nFor: earlier\r\n\r\n%s", head, own)
		return true
	})
	b.mustAnswer(t, Attempt{Method: "HEAD"})
	if response := b.send(Attempt{}, nil); response.Outcome != routing.Unknown {
		t.Errorf("%v %q", response.Outcome, response.Body)
	}
}

// A connection on which something arrives while it is idle is not reused.
func TestLateBytes(t *testing.T) {
	late := make(chan net.Conn, 9)
	b := newFakeBackend(t, func(r receivedRequest) bool { r.respond(r.id, "ok"); late <- r.conn; return true })
	b.mustAnswer(t, Attempt{})
	conn := b.idleConn(t)
	io.WriteString(<-late, responseText("x", "no"))
	for end := conn.idleSince.Add(maxIdleTime / 2); conn.hasNoPendingInput(); {
		if time.Now().After(end) {
			t.Fatal("unexpected bytes were not noticed")
		}
	}
	b.mustAnswer(t, Attempt{})
	if n := b.connections.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// respondAndClose answers a request, and closes the connection at random: before the response,
// after it, with a reset, or after a surplus response.
func respondAndClose(r receivedRequest) bool {
	io.Copy(io.Discard, r.Body)
	switch rand.IntN(8) {
	case 0:
		return false
	case 1:
		r.respond(r.id, "ok")
		return false
	case 2:
		r.respond(r.id, "ok")
		r.conn.(*net.TCPConn).SetLinger(0)
		return false
	case 3:
		r.respond(r.id, "ok")
		r.respond("nobody", "surplus")
		return true
	}
	r.respond(r.id, "ok")
	return true
}

// randomAttempt returns one of a short, a middle or a long body, some with hardly any time.
func randomAttempt() Attempt {
	attempt := Attempt{ID: fmt.Sprint("attempt-", attemptCount.Add(1)), Body: make([]byte, []int{1, 20 << 10, 300 << 10}[rand.IntN(3)])}
	if rand.IntN(8) == 0 {
		attempt.Timeout = time.Duration(1 + rand.Int64N(int64(2*time.Millisecond)))
	}
	return attempt
}

// rejectSome rejects one of 16 attempts before the write.
func rejectSome() endpoints.Rejection {
	if rand.IntN(16) == 0 {
		return endpoints.BackendDraining
	}
	return endpoints.Admitted
}

// attemptResults is what became of many attempts.
type attemptResults struct {
	answered, others atomic.Int64
	// notRun has the reasons of those that were said not to have run, by attempt.
	notRun sync.Map
}

// add checks what became of an attempt against what the backend has received by now.
func (r *attemptResults) add(t *testing.T, b *fakeBackend, id string, response AttemptResponse) {
	t.Helper()
	if response.Outcome == routing.NotRun {
		r.notRun.Store(id, response.Reason)
	}
	b.mu.Lock()
	ran := b.runs[id]
	b.mu.Unlock()
	if response.Outcome == routing.Answered {
		r.answered.Add(1)
	} else {
		r.others.Add(1)
	}
	if ran > 1 || response.Outcome == routing.NotRun && ran > 0 || response.Outcome == routing.Answered && response.Header.Get("For") != id {
		t.Errorf("%s: %v %q, ran %d times, response to %q", id, response.Outcome, response.Reason, ran, response.Header.Get("For"))
	}
}

// checkNotRun checks that none of those said not to have run has run since, and counts them.
func (r *attemptResults) checkNotRun(t *testing.T, b *fakeBackend) (count int) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	r.notRun.Range(func(id, reason any) bool {
		count++
		if n := b.runs[id.(string)]; n > 0 {
			t.Errorf("%s was said not to have run (%s), and ran %d times", id, reason, n)
		}
		return true
	})
	return count
}

// With a backend that closes connections at any time, attempts with little time, and rejections
// before the write, nothing runs twice or after it was said not to, and no attempt gets another
// one's response.
func TestBackendCloses(t *testing.T) {
	b := newFakeBackend(t, respondAndClose)
	var results attemptResults
	var senders sync.WaitGroup
	for range 8 {
		senders.Go(func() {
			for range 200 {
				attempt := randomAttempt()
				results.add(t, b, attempt.ID, b.send(attempt, rejectSome))
			}
		})
	}
	senders.Wait()
	for _, entry := range b.inbound.pool.entries {
		for _, conn := range entry.idle {
			conn.Close()
		}
	}
	for range b.inbound.ConnectionsOpened() {
		<-b.closed // what was written has been read by then
	}
	notRun, answered, connections := results.checkNotRun(t, b), results.answered.Load(), b.connections.Load()
	t.Logf("%d answered, %d not, of which %d have not run, on %d connections", answered, results.others.Load(), notRun, connections)
	if notRun == 0 || answered < 700 || connections > 1500 {
		t.Error("few were answered, or few connections were reused")
	}
}

// An attempt that is rejected before the write writes no byte, and its connection can be reused.
func TestRejectedBeforeWrite(t *testing.T) {
	b := newFakeBackend(t, respondOK)
	b.mustAnswer(t, Attempt{})
	for _, body := range []int{1, 100 << 10} {
		response := b.send(Attempt{ID: "rejected", Body: make([]byte, body)}, func() endpoints.Rejection { return endpoints.BackendDraining })
		if response.Outcome != routing.NotRun || response.ReachedBackend {
			t.Errorf("written although rejected: %+v", response)
		}
	}
	b.mustAnswer(t, Attempt{})
	if b.runs["rejected"] != 0 || b.connections.Load() != 1 {
		t.Errorf("ran %d times; %d connections", b.runs["rejected"], b.connections.Load())
	}
}

// A connection that takes no byte proves that nothing was sent: a new one is used, after another
// check.
func TestNothingWritten(t *testing.T) {
	release := make(chan struct{})
	b := newFakeBackend(t, func(r receivedRequest) bool {
		r.respond(r.id, "ok")
		if r.connNumber == 1 {
			<-release
		}
		return true
	})
	defer close(release)
	b.mustAnswer(t, Attempt{})
	if err := b.idleConn(t).Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	checks := 0
	response := b.send(Attempt{ID: "fresh"}, func() endpoints.Rejection { checks++; return endpoints.Admitted })
	if response.Outcome != routing.Answered || b.runs["fresh"] != 1 || checks != 2 || b.connections.Load() != 2 {
		t.Errorf("%+v, ran %d times, checked %d times, %d connections", response, b.runs["fresh"], checks, b.connections.Load())
	}
}

// An attempt whose deadline passes closes its connection.
func TestAttemptDeadline(t *testing.T) {
	gone := make(chan error, 1)
	b := newFakeBackend(t, func(r receivedRequest) bool {
		_, err := r.conn.Read(make([]byte, 1))
		gone <- err
		return false
	})
	response := b.send(Attempt{ID: "late", Timeout: 30 * time.Millisecond}, nil)
	if response.Outcome != routing.Unknown || response.Reason != string(endpoints.DeadlineExpired) {
		t.Errorf("%+v", response)
	}
	if err := <-gone; err == nil {
		t.Error("the connection was not closed")
	}
	if n := b.inbound.pool.idleCount(); n != 0 {
		t.Errorf("%d are kept", n)
	}
}

// A long request may be answered before its end; its connection is not reused.
func TestResponseBeforeRequestEnds(t *testing.T) {
	b := newFakeBackend(t, func(r receivedRequest) bool {
		r.respond(r.id, "too long")
		return r.ContentLength < 1<<20
	})
	b.inbound.Bodies.MaxBody = 64 << 20
	response := b.send(Attempt{ID: "long", Body: make([]byte, 32<<20)}, nil)
	if response.Outcome != routing.Answered || string(response.Body) != "too long" {
		t.Errorf("%v %q", response.Outcome, response.Reason)
	}
	b.mustAnswer(t, Attempt{})
	if n := b.connections.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}
