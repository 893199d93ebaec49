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

// What is known to stand between two answers is used again, whatever their form.
func TestLinkIsUsedAgain(t *testing.T) {
	b := newFakeBackend(t, func(v receivedRequest) bool {
		io.Copy(io.Discard, v.Body)
		switch v.n % 6 {
		case 0:
			io.WriteString(v.w, "HTTP/1.1 204 No Content\r\nFor: "+v.id+"\r\n\r\n")
		case 1:
			io.WriteString(v.w, "HTTP/1.1 304 Not Modified\r\nContent-Length: 77\r\nFor: "+v.id+"\r\n\r\n")
		case 2:
			io.WriteString(v.w, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\nFor: "+v.id+"\r\n\r\n2\r\nok\r\n0\r\nSum: 7\r\n\r\n")
		case 3:
			v.respond(v.id, "", "Declined: 1")
		default:
			v.respond(v.id, "ok")
		}
		return true
	})
	for i := range 100 {
		n := i%6 + 1
		attempt := Attempt{ID: fmt.Sprint("again-", i), Body: []byte("x")}
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
	if n := b.opens.Load(); n != 1 || b.inbound.ConnectionsOpened() != 1 || b.inbound.ConnectionsReused() != 99 {
		t.Errorf("%d connections were opened for 100 legs; told %d and %d", n, b.inbound.ConnectionsOpened(), b.inbound.ConnectionsReused())
	}
}

// HEAD has a length and no body.
func TestLinkAfterHead(t *testing.T) {
	b := newFakeBackend(t, func(v receivedRequest) bool {
		io.WriteString(v.w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: "+v.id+"\r\n\r\n")
		if v.Method != "HEAD" {
			io.WriteString(v.w, "ok")
		}
		return true
	})
	for _, m := range []string{"HEAD", "GET", "HEAD", "GET"} {
		b.mustAnswer(t, Attempt{Method: m})
	}
	if n := b.opens.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// What says that it closes, or may, is not used again.
func TestLinkIsNotUsedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		body bool
	}{
		"close":         {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"old version":   {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"no time":       {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0, max=5\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"odd time":      {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=-x\r\nContent-Length: 2\r\nFor: %s\r\n\r\nok", true},
		"more than it":  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: %s\r\n\r\nokay", true},
		"other answers": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: %s\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: x\r\n\r\nno", true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t, func(v receivedRequest) bool { fmt.Fprintf(v.w, c.text, v.id); return true })
			for range 5 {
				b.mustAnswer(t, Attempt{Idempotent: true})
			}
			if n := b.opens.Load(); n != 5 {
				t.Errorf("%d connections were opened for 5 legs", n)
			}
		})
	}
}

// How long a link may be idle is the least of what the backend says and our own bound;
// for an order it is less.
func TestLinkIdle(t *testing.T) {
	b := newFakeBackend(t, func(v receivedRequest) bool {
		v.respond(v.id, "ok", "Keep-Alive: timeout=6, max=9")
		return true
	})
	b.mustAnswer(t, Attempt{})
	age := func(d time.Duration) { conn := b.idleConn(t); conn.idleSince = time.Now().Add(-d) }
	opens := func(want int64, why string) {
		t.Helper()
		if n := b.opens.Load(); n != want {
			t.Errorf("%s: %d connections, want %d", why, n, want)
		}
	}
	age(900 * time.Millisecond)
	b.mustAnswer(t, Attempt{})
	opens(1, "an order on a young one")
	age(1100 * time.Millisecond)
	b.mustAnswer(t, Attempt{Idempotent: true})
	opens(1, "a look on an older one")
	age(3100 * time.Millisecond)
	b.mustAnswer(t, Attempt{Idempotent: true})
	opens(2, "a look past half of what the backend said")
	b.entry.Capacity = 1
	age(1100 * time.Millisecond)
	b.mustAnswer(t, Attempt{})
	opens(3, "an order on an older one")
	b.idleConn(t) // only one: the older made room
}

// An answer to another request, in the place of the one that is due, is passed over;
// after it, the link is not used again.
func TestStrayAnswers(t *testing.T) {
	for strays, want := range []routing.Outcome{routing.Answered, routing.Answered, routing.Answered, routing.Unknown} {
		b := newFakeBackend(t, func(v receivedRequest) bool {
			if v.n == 2 {
				for range strays {
					v.respond("earlier", "a late answer")
				}
			}
			v.respond(v.id, "ok")
			return true
		})
		b.mustAnswer(t, Attempt{})
		attempt := Attempt{ID: "second"}
		response := b.send(attempt, nil)
		if response.Outcome != want || want == routing.Answered && (response.Header.Get("For") != attempt.ID || string(response.Body) != "ok") {
			t.Errorf("%d strays: %v %q %q", strays, response.Outcome, response.Reason, response.Body)
		}
		b.mustAnswer(t, Attempt{})
		if n := b.opens.Load(); n != int64(min(strays, 1)+1) {
			t.Errorf("%d strays: %d connections", strays, n)
		}
	}
}

// Where a link has carried a HEAD, nobody knows whether an answer to another request has
// a body: so what looks like the own one behind it may be bytes of a body.
func TestStrayAnswerAfterHead(t *testing.T) {
	b := newFakeBackend(t, func(v receivedRequest) bool {
		if v.Method == "HEAD" {
			io.WriteString(v.w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFor: "+v.id+"\r\n\r\n")
			return true
		}
		own := responseText(v.id, responseText(v.id, "forged"))
		head := strings.Index(own, "\r\n\r\n") + 4
		fmt.Fprintf(v.w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nFor: earlier\r\n\r\n%s", head, own)
		return true
	})
	b.mustAnswer(t, Attempt{Method: "HEAD"})
	if response := b.send(Attempt{}, nil); response.Outcome != routing.Unknown {
		t.Errorf("%v %q", response.Outcome, response.Body)
	}
}

// What comes while a link is idle spoils it.
func TestLateBytes(t *testing.T) {
	late := make(chan net.Conn, 9)
	b := newFakeBackend(t, func(v receivedRequest) bool { v.respond(v.id, "ok"); late <- v.w; return true })
	b.mustAnswer(t, Attempt{})
	conn := b.idleConn(t)
	io.WriteString(<-late, responseText("x", "no"))
	for end := conn.idleSince.Add(maxIdleTime / 2); conn.isQuiet(); {
		if time.Now().After(end) {
			t.Fatal("bytes that nobody asked for were not noticed")
		}
	}
	b.mustAnswer(t, Attempt{})
	if n := b.opens.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// A backend that closes its connections when it likes, attempts whose time is short, and
// gates that shut: nothing runs twice, or after it was said not to, and nobody gets
// another's answer.
func TestBackendCloses(t *testing.T) {
	b := newFakeBackend(t, func(v receivedRequest) bool {
		io.Copy(io.Discard, v.Body)
		switch rand.IntN(8) {
		case 0:
			return false // read, and closed without a word
		case 1:
			v.respond(v.id, "ok")
			return false
		case 2:
			v.respond(v.id, "ok")
			v.w.(*net.TCPConn).SetLinger(0)
			return false
		case 3:
			v.respond(v.id, "ok")
			v.respond("nobody", "surplus")
			return true
		}
		v.respond(v.id, "ok")
		return true
	})
	var answered, unknown atomic.Int64
	var all sync.WaitGroup
	var notRun sync.Map
	for range 8 {
		all.Go(func() {
			for range 200 {
				id := fmt.Sprint("order-", attempts.Add(1))
				attempt := Attempt{ID: id, Body: make([]byte, []int{1, 20 << 10, 300 << 10}[rand.IntN(3)])}
				if rand.IntN(8) == 0 {
					attempt.Timeout = time.Duration(1 + rand.Int64N(int64(2*time.Millisecond)))
				}
				response := b.send(attempt, func() endpoints.Rejection {
					if rand.IntN(16) == 0 {
						return endpoints.BackendDraining
					}
					return endpoints.Admitted
				})
				if response.Outcome == routing.NotRun {
					notRun.Store(id, response.Reason)
				}
				b.mu.Lock()
				ran := b.runs[id]
				b.mu.Unlock()
				if response.Outcome == routing.Answered {
					answered.Add(1)
				} else {
					unknown.Add(1)
				}
				if ran > 1 || response.Outcome == routing.NotRun && ran > 0 || response.Outcome == routing.Answered && response.Header.Get("For") != id {
					t.Errorf("%s: %v %q, ran %d times, answer to %q", id, response.Outcome, response.Reason, ran, response.Header.Get("For"))
				}
			}
		})
	}
	all.Wait()
	for _, l := range b.inbound.pool.entries {
		for _, conn := range l.idle {
			conn.Close()
		}
	}
	for range b.inbound.ConnectionsOpened() {
		<-b.closed // what was written is read by then
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	refused := 0
	notRun.Range(func(id, why any) bool {
		refused++
		if n := b.runs[id.(string)]; n > 0 {
			t.Errorf("%s was said not to have run (%s), and ran %d times", id, why, n)
		}
		return true
	})
	t.Logf("%d were not run", refused)
	t.Logf("%d answered, %d not, on %d connections", answered.Load(), unknown.Load(), b.opens.Load())
	if refused == 0 || answered.Load() < 700 || b.opens.Load() > 1500 {
		t.Error("little was answered, or little used again")
	}
}

// A gate that shuts between two attempts on one link lets not a byte through, and the link
// stays good.
func TestGateOnALink(t *testing.T) {
	b := newFakeBackend(t, respondOK)
	b.mustAnswer(t, Attempt{})
	for _, body := range []int{1, 100 << 10} {
		response := b.send(Attempt{ID: "shut", Body: make([]byte, body)}, func() endpoints.Rejection { return endpoints.BackendDraining })
		if response.Outcome != routing.NotRun || response.ReachedBackend {
			t.Errorf("past a shut gate: %+v", response)
		}
	}
	b.mustAnswer(t, Attempt{})
	if b.runs["shut"] != 0 || b.opens.Load() != 1 {
		t.Errorf("ran %d times; %d connections", b.runs["shut"], b.opens.Load())
	}
}

// A link that takes not a byte is proof that nothing went: a fresh one is taken, past
// the gate again.
func TestNotAByte(t *testing.T) {
	hold := make(chan struct{})
	b := newFakeBackend(t, func(v receivedRequest) bool {
		v.respond(v.id, "ok")
		if v.conn == 1 {
			<-hold
		}
		return true
	})
	defer close(hold)
	b.mustAnswer(t, Attempt{})
	if err := b.idleConn(t).Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	asked := 0
	response := b.send(Attempt{ID: "fresh"}, func() endpoints.Rejection { asked++; return endpoints.Admitted })
	if response.Outcome != routing.Answered || b.runs["fresh"] != 1 || asked != 2 || b.opens.Load() != 2 {
		t.Errorf("%+v, ran %d times, asked %d times, %d connections", response, b.runs["fresh"], asked, b.opens.Load())
	}
}

// An attempt past its time closes its link.
func TestAttemptPastItsTime(t *testing.T) {
	gone := make(chan error, 1)
	b := newFakeBackend(t, func(v receivedRequest) bool {
		_, err := v.w.Read(make([]byte, 1))
		gone <- err
		return false
	})
	response := b.send(Attempt{ID: "late", Timeout: 30 * time.Millisecond}, nil)
	if response.Outcome != routing.Unknown || response.Reason != string(endpoints.DeadlineExpired) {
		t.Errorf("%+v", response)
	}
	if err := <-gone; err == nil {
		t.Error("the link was not closed")
	}
	if n := b.inbound.pool.idleCount(); n != 0 {
		t.Errorf("%d are kept", n)
	}
}

// What is long may be answered before it is read; nothing else goes on that link.
func TestAnswerBeforeTheEnd(t *testing.T) {
	b := newFakeBackend(t, func(v receivedRequest) bool {
		v.respond(v.id, "too long")
		return v.ContentLength < 1<<20
	})
	b.inbound.Bodies.MaxBody = 64 << 20
	response := b.send(Attempt{ID: "long", Body: make([]byte, 32<<20)}, nil)
	if response.Outcome != routing.Answered || string(response.Body) != "too long" {
		t.Errorf("%v %q", response.Outcome, response.Reason)
	}
	b.mustAnswer(t, Attempt{})
	if n := b.opens.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}
