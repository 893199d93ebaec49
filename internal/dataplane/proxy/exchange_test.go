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

// TestConnectionReused checks that a connection is reused after a complete response in any valid
// format.
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
			t.Fatalf("attempt %d: got response %+v, want its own response, or a declined attempt for each third response of six", i, response)
		}
		if n == 2 && (string(response.Body) != "ok" || response.Trailer.Get("Sum") != "7") {
			t.Fatalf("got body %q, trailer %v, want ok with Sum: 7", response.Body, response.Trailer)
		}
	}
	if n := b.connections.Load(); n != 1 || b.inbound.ConnectionsOpened() != 1 || b.inbound.ConnectionsReused() != 99 {
		t.Errorf("%d connections for 100 attempts, want 1; counters: %d opened, %d reused, want 1 and 99", n, b.inbound.ConnectionsOpened(), b.inbound.ConnectionsReused())
	}
}

// TestConnectionAfterHead checks that a connection is reused after the response to HEAD, which has
// a Content-Length and no body.
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
		t.Errorf("%d connections, want 1", n)
	}
}

// TestConnectionNotReused checks that a connection that the backend closes, or may close, is not
// reused.
func TestConnectionNotReused(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		body     bool
	}{
		"close":                      {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"HTTP/1.0":                   {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"zero Keep-Alive timeout":    {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0, max=5\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"invalid Keep-Alive timeout": {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=-x\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"data after the body":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: %s\r\n\r\nokay", true},
		"extra response":             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: %s\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: x\r\n\r\nno", true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t, func(r receivedRequest) bool { fmt.Fprintf(r.conn, c.response, r.id); return true })
			for range 5 {
				b.mustAnswer(t, Attempt{Idempotent: true})
			}
			if n := b.connections.Load(); n != 5 {
				t.Errorf("%d connections for 5 attempts, want 5", n)
			}
		})
	}
}

// TestConnectionIdleTime checks that a connection is reused after at most half of the backend's
// Keep-Alive timeout, at most maxIdleTime, and at most maxIdleNonIdempotent for an attempt that is
// not idempotent.
func TestConnectionIdleTime(t *testing.T) {
	b := newFakeBackend(t, func(r receivedRequest) bool {
		r.respond(r.id, "ok", "Keep-Alive: timeout=6, max=9")
		return true
	})
	b.mustAnswer(t, Attempt{})
	setIdleTime := func(d time.Duration) { conn := b.idleConn(t); conn.idleSince = time.Now().Add(-d) }
	setIdleTime(900 * time.Millisecond)
	b.mustAnswer(t, Attempt{})
	b.expectConnections(t, 1, "not idempotent, idle for a short time")
	setIdleTime(1100 * time.Millisecond)
	b.mustAnswer(t, Attempt{Idempotent: true})
	b.expectConnections(t, 1, "idempotent, idle for longer")
	setIdleTime(3100 * time.Millisecond)
	b.mustAnswer(t, Attempt{Idempotent: true})
	b.expectConnections(t, 2, "idempotent, idle for over half of the Keep-Alive timeout")
	b.endpoint.Capacity = 1
	setIdleTime(1100 * time.Millisecond)
	b.mustAnswer(t, Attempt{})
	b.expectConnections(t, 3, "not idempotent, idle for longer")
	b.idleConn(t) // the older connection was closed, so there is only one
}

// TestMismatchedResponses checks that responses to other requests that precede the attempt's own
// response are skipped, and that the connection is not reused afterwards.
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
			t.Errorf("%d mismatched responses: got outcome %v, reason %q, body %q, want the attempt's own response, or an unknown outcome if there are too many", mismatched, response.Outcome, response.Reason, response.Body)
		}
		b.mustAnswer(t, Attempt{})
		if n := b.connections.Load(); n != int64(min(mismatched, 1)+1) {
			t.Errorf("%d mismatched responses: got %d connections, want 1 without mismatched responses and 2 otherwise", mismatched, n)
		}
	}
}

// TestMismatchedResponseAfterHead checks a mismatched response on a connection that has carried a
// HEAD request. It is unknown whether that response has a body, so the bytes that look like the
// attempt's own response may be part of a body. The outcome must be unknown.
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
		t.Errorf("got outcome %v, body %q, want unknown", response.Outcome, response.Body)
	}
}

// TestLateBytes checks that a connection that receives data while it is idle is not reused.
func TestLateBytes(t *testing.T) {
	late := make(chan net.Conn, 9)
	b := newFakeBackend(t, func(r receivedRequest) bool { r.respond(r.id, "ok"); late <- r.conn; return true })
	b.mustAnswer(t, Attempt{})
	conn := b.idleConn(t)
	io.WriteString(<-late, responseText("x", "no"))
	for end := conn.idleSince.Add(maxIdleTime / 2); conn.hasNoPendingInput(); {
		if time.Now().After(end) {
			t.Fatal("unexpected data was not detected")
		}
	}
	b.mustAnswer(t, Attempt{})
	if n := b.connections.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// respondAndClose responds to a request, and closes the connection at random: before the response,
// after it, or with a reset. It may also send an extra response.
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

// randomAttempt returns an attempt with a short, medium or long body. Some attempts have a timeout
// of at most 2 ms.
func randomAttempt() Attempt {
	attempt := Attempt{ID: fmt.Sprint("attempt-", attemptCount.Add(1)), Body: make([]byte, []int{1, 20 << 10, 300 << 10}[rand.IntN(3)])}
	if rand.IntN(8) == 0 {
		attempt.Timeout = time.Duration(1 + rand.Int64N(int64(2*time.Millisecond)))
	}
	return attempt
}

// rejectSome rejects one in 16 attempts before the write.
func rejectSome() endpoints.Rejection {
	if rand.IntN(16) == 0 {
		return endpoints.BackendDraining
	}
	return endpoints.Admitted
}

// attemptResults collects the results of many attempts.
type attemptResults struct {
	answered, others atomic.Int64
	// notRun holds the reasons of the attempts that were reported as not run, by attempt ID.
	notRun sync.Map
}

// add records the result of an attempt, and checks it against the requests that the backend has
// received so far.
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
		t.Errorf("%s: got outcome %v, reason %q, ran %d times, response to %q", id, response.Outcome, response.Reason, ran, response.Header.Get("For"))
	}
}

// checkNotRun checks that no attempt that was reported as not run has run since, and returns the
// number of such attempts.
func (r *attemptResults) checkNotRun(t *testing.T, b *fakeBackend) (count int) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	r.notRun.Range(func(id, reason any) bool {
		count++
		if n := b.runs[id.(string)]; n > 0 {
			t.Errorf("%s was reported as not run (%s), but ran %d times", id, reason, n)
		}
		return true
	})
	return count
}

// TestBackendCloses checks that no attempt runs twice, runs after it was reported as not run, or
// gets another attempt's response. The backend closes connections at random, some attempts have
// little time, and some are rejected before the write.
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
		<-b.closed // all written data has been read when the connection is closed
	}
	notRun, answered, connections := results.checkNotRun(t, b), results.answered.Load(), b.connections.Load()
	t.Logf("%d attempts answered, %d not answered, %d of these not run, on %d connections", answered, results.others.Load(), notRun, connections)
	if notRun == 0 || answered < 700 || connections > 1500 {
		t.Error("too few attempts were answered or not run, or too few connections were reused")
	}
}

// TestRejectedBeforeWrite checks that an attempt that is rejected before the write writes no byte,
// and that its connection can be reused.
func TestRejectedBeforeWrite(t *testing.T) {
	b := newFakeBackend(t, respondOK)
	b.mustAnswer(t, Attempt{})
	for _, body := range []int{1, 100 << 10} {
		response := b.send(Attempt{ID: "rejected", Body: make([]byte, body)}, func() endpoints.Rejection { return endpoints.BackendDraining })
		if response.Outcome != routing.NotRun || response.ReachedBackend {
			t.Errorf("rejected attempt: got response %+v, want one that did not reach the backend", response)
		}
	}
	b.mustAnswer(t, Attempt{})
	if b.runs["rejected"] != 0 || b.connections.Load() != 1 {
		t.Errorf("ran %d times on %d connections, want 0 times on 1", b.runs["rejected"], b.connections.Load())
	}
}

// TestNothingWritten checks that if a reused connection fails before a byte was written, the
// attempt is sent on a new connection after another admission check. Such a failure proves that the
// backend has received nothing.
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
		t.Errorf("got response %+v, ran %d times, checked %d times, %d connections, want an answer, 1 run, 2 checks and 2 connections", response, b.runs["fresh"], checks, b.connections.Load())
	}
}

// TestAttemptDeadline checks that the connection is closed when the attempt's deadline passes.
func TestAttemptDeadline(t *testing.T) {
	readErr := make(chan error, 1)
	b := newFakeBackend(t, func(r receivedRequest) bool {
		_, err := r.conn.Read(make([]byte, 1))
		readErr <- err
		return false
	})
	response := b.send(Attempt{ID: "late", Timeout: 30 * time.Millisecond}, nil)
	if response.Outcome != routing.Unknown || response.Reason != string(endpoints.DeadlineExpired) {
		t.Errorf("got response %+v, want an unknown outcome because the deadline expired", response)
	}
	if err := <-readErr; err == nil {
		t.Error("the connection was not closed")
	}
	if n := b.inbound.pool.idleCount(); n != 0 {
		t.Errorf("%d idle connections, want 0", n)
	}
}

// TestResponseBeforeRequestEnds checks that a long request may be answered before its end, and that
// its connection is not reused.
func TestResponseBeforeRequestEnds(t *testing.T) {
	b := newFakeBackend(t, func(r receivedRequest) bool {
		r.respond(r.id, "too long")
		return r.ContentLength < 1<<20
	})
	b.inbound.Bodies.MaxBody = 64 << 20
	response := b.send(Attempt{ID: "long", Body: make([]byte, 32<<20)}, nil)
	if response.Outcome != routing.Answered || string(response.Body) != "too long" {
		t.Errorf("got outcome %v, reason %q, want an answer", response.Outcome, response.Reason)
	}
	b.mustAnswer(t, Attempt{})
	if n := b.connections.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}
