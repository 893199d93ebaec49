package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/tests/ledger"
)

// TestRequestsPassUnaltered checks that requests reach the backend unaltered, and that responses reach
// the client unaltered. The sidecars may only remove hop-by-hop headers and a forged caller header,
// and add trace headers.
func TestRequestsPassUnaltered(t *testing.T) {
	r := newRig(t)
	type seen struct {
		Method, URI, Host, Body string
		Header                  http.Header
	}
	got := make(chan seen, 1)
	r.backend(1, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		got <- seen{q.Method, q.RequestURI, q.Host, string(b), q.Header}
		h := w.Header()
		h["Date"], h["Content-Type"] = nil, nil
		h.Add("Set-Cookie", "a=1")
		h.Add("Set-Cookie", "b=2")
		h.Set("Location", "http://elsewhere/")
		w.WriteHeader(http.StatusFound)
		io.WriteString(w, "moved \x00 bytes")
	}))
	for _, uri := range []string{"/look/a", "/look/a%2Fb/..//c?x=%20&y", "/look/?", "/look/%e2%82%ac;p=1?a=b?c"} {
		a := r.send("GET", uri, "", "X-One", "1", "Curlewwalk-Caller", "forged", "Connection", "X-Drop", "X-Drop", "hop", "Accept-Encoding", "identity", "Idempotency-Key", "k"+uri)
		s := receive(r, got)
		if s.Method != "GET" || s.URI != uri || s.Host != r.RequestAddress(0) || s.Body != "" {
			t.Errorf("the backend got %s %s, host %s, body %q; want the client's request", s.Method, s.URI, s.Host, s.Body)
		}
		for _, k := range []string{"X-B3-Traceid", "X-B3-Spanid", "X-B3-Parentspanid"} {
			s.Header.Del(k)
		}
		want := http.Header{"X-One": {"1"}, "Accept-Encoding": {"identity"}, "Idempotency-Key": {"k" + uri}, "User-Agent": {"Go-http-client/1.1"}}
		if d := cmp.Diff(want, s.Header); d != "" {
			t.Errorf("wrong headers at the backend: %s", d)
		}
		wantResponse := http.Header{"Set-Cookie": {"a=1", "b=2"}, "Location": {"http://elsewhere/"}, "Content-Length": {"13"}}
		if d := cmp.Diff(wantResponse, a.Header); d != "" || a.StatusCode != 302 || string(a.body) != "moved \x00 bytes" {
			t.Errorf("got answer %d %q, want 302 with the backend's body; header differences: %s", a.StatusCode, a.body, d)
		}
	}
	body := strings.Repeat("\x00\xff", 1<<20)
	r.send("POST", "/once/x", body)
	if s := receive(r, got); s.Body != body || s.Method != "POST" {
		t.Errorf("a body of %d bytes reached the backend with %d bytes", len(body), len(s.Body))
	}
	a := r.send("HEAD", "/look/head", "")
	if receive(r, got); a.StatusCode != 302 || len(a.body) != 0 {
		t.Errorf("HEAD: got %d with body %q, want 302 without a body", a.StatusCode, a.body)
	}
}

// TestRefusals checks that the outbound sidecar refuses a request that it cannot run at once. The
// answer must have the status for the cause and the outcome not-run.
func TestRefusals(t *testing.T) {
	r := newRig(t)
	r.expect(r.send("GET", "/nowhere", ""), 404, ledger.OutcomeNotRun)
	r.expect(r.send("POST", "/look/", ""), 404, ledger.OutcomeNotRun)
	r.expect(r.send("POST", "/once/", strings.Repeat("x", 17<<20)), 413, ledger.OutcomeNotRun)
	r.expect(r.send("POST", "/once/", "x"), 503, ledger.OutcomeNotRun) // no backend exists
	// A request with a truncated body gets status 400.
	c, err := net.Dial("tcp", r.RequestAddress(0))
	must(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /once/ HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")
	must(t, c.(*net.TCPConn).CloseWrite())
	reply, _ := io.ReadAll(c)
	if !bytes.HasPrefix(reply, []byte("HTTP/1.1 400 ")) {
		t.Errorf("a truncated request got %q, want status 400", reply)
	}
	// No process listens at this address, so the request certainly did not run.
	ln, err := net.Listen("tcp", net.JoinHostPort(r.Site.IP(1), "0"))
	must(t, err)
	addr := ln.Addr().String()
	ln.Close()
	r.announceBackend(1, "dead", addr)
	r.expect(r.send("POST", "/once/", "x"), 503, ledger.OutcomeNotRun)
}

// TestWrongAnswers checks that a malformed, truncated or missing answer of a backend is never passed
// on as complete. The sidecar has already written the order to the backend, so the order may have run
// and must not run again.
func TestWrongAnswers(t *testing.T) {
	for name, response := range map[string]string{
		"no answer":      "",
		"truncated head": "HTTP/1.1 200 OK\r\nContent-Le",
		"not HTTP":       "good day\r\n\r\n",
		"short body":     "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this",
		"short chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nonly",
		"no last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nonly\r\n",
		"no length":      "HTTP/1.1 200 OK\r\n\r\nends with the connection",
		"two lengths":    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"other protocol": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"invalid length": "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			count := r.rawBackend(1, func(_ int, c net.Conn) { io.WriteString(c, response) })
			a := r.send("POST", "/once/", "x", "Idempotency-Key", "k")
			r.expect(a, 502, ledger.OutcomeUnknown)
			if n := count(); n != 1 {
				t.Errorf("the order ran %d times, want 1", n)
			}
			// The key stays reserved: a repeat gets the same answer and does not run.
			again := r.send("POST", "/once/", "x", "Idempotency-Key", "k")
			if !bytes.Equal(a.body, again.body) || count() != 1 {
				t.Errorf("the repeat got %q, the first request %q, after %d runs; want the same answer after 1 run", again.body, a.body, count())
			}
		})
	}
}

// TestRetry checks that a request on an idempotent route is retried when its answer is lost. An order
// must not be retried, even if a second backend is available.
func TestRetry(t *testing.T) {
	r := newRig(t)
	count := r.rawBackend(1, func(int, net.Conn) {})
	r.expect(r.send("POST", "/once/", "x"), 502, ledger.OutcomeUnknown)
	if n := count(); n != 1 {
		t.Fatalf("the order ran %d times, want 1", n)
	}
	var good atomic.Int64
	r.backend(1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { good.Add(1) }))
	sent := int64(0)
	for ; count() < 4 && r.ctx.Err() == nil; sent++ {
		r.send("POST", "/once/", "x")
	}
	if n := good.Load() + int64(count()) - 1; n != sent {
		t.Errorf("%d orders ran %d times, want one run each", sent, n)
	}
	for count() < 7 && r.ctx.Err() == nil {
		if a := r.send("GET", "/look/", ""); a.StatusCode != 200 {
			t.Errorf("an idempotent request got %d %s, want 200", a.StatusCode, a.body)
		}
	}
}

// TestRetriesBounded checks that retries do not multiply the load when all attempts fail and clients
// keep sending. The retries must stay within a fifth of the requests plus the initial allowance.
func TestRetriesBounded(t *testing.T) {
	r := newRig(t)
	var count []func() int
	for i := range 3 {
		count = append(count, r.rawBackendAs(1, fmt.Sprintf("raw-%d", i), func(int, net.Conn) {}))
	}
	const sent = 300
	for range sent {
		r.expect(r.send("GET", "/look/", ""), 502, ledger.OutcomeUnknown)
	}
	runs := count[0]() + count[1]() + count[2]()
	t.Logf("%d requests, %d attempts", sent, runs)
	if runs <= sent || float64(runs) > 1.2*sent+20 {
		t.Errorf("%d requests led to %d attempts, want some retries and at most 1.2 attempts per request plus 20", sent, runs)
	}
}

// TestDeadline checks that a request is answered soon after its deadline, and that a slow backend is
// not tried a second time.
func TestDeadline(t *testing.T) {
	r := newRig(t)
	release := make(chan struct{})
	var runs atomic.Int64
	r.backend(1, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		runs.Add(1)
		io.Copy(io.Discard, q.Body)
		<-release
	}))
	a := r.send("POST", "/once/", "x")
	close(release)
	r.expect(a, 504, ledger.OutcomeUnknown)
	if runs.Load() != 1 {
		t.Errorf("the order ran %d times, want 1", runs.Load())
	}
	if a.took > oncePlan.Deadline+time.Second {
		t.Errorf("a request with a deadline of %v was answered after %v, want at most 1s later", oncePlan.Deadline, a.took)
	}
}

// TestIdempotencyKeys checks repeats under an idempotency key. A repeat joins the running request, and
// gets the same response afterwards. A different request under the same key is refused. A request that
// did not run does not block its key.
func TestIdempotencyKeys(t *testing.T) {
	r := newRig(t)
	r.expect(r.send("POST", "/once/", "x", "Idempotency-Key", "a"), 503, ledger.OutcomeNotRun)
	var runs atomic.Int64
	running, release := make(chan struct{}, 9), make(chan struct{})
	r.backend(1, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		n := runs.Add(1)
		running <- struct{}{}
		<-release
		fmt.Fprintf(w, "run %d", n)
	}))
	answers := make(chan string, 3)
	sendOrder := func() { answers <- string(r.send("POST", "/once/", "x", "Idempotency-Key", "a").body) }
	go sendOrder()
	receive(r, running)
	go sendOrder()
	go sendOrder()
	r.awaitJoined(2)
	close(release)
	for range 3 {
		if got := receive(r, answers); got != "run 1" {
			t.Errorf("got %q, want \"run 1\"", got)
		}
	}
	if a := r.send("POST", "/once/", "x", "Idempotency-Key", "a"); string(a.body) != "run 1" {
		t.Errorf("repeat after the run: got %q, want \"run 1\"", a.body)
	}
	r.expect(r.send("POST", "/once/", "other", "Idempotency-Key", "a"), 422, ledger.OutcomeNotRun)
	if a := r.send("POST", "/once/", "x", "Idempotency-Key", "b"); string(a.body) != "run 2" || runs.Load() != 2 {
		t.Errorf("request under another key: got %q after %d runs, want \"run 2\" after 2 runs", a.body, runs.Load())
	}
}
