package fakes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"curlewwalk/tests/ledger"
)

var (
	readPlan  = RequestPlan{Name: "read", Method: "GET", Prefix: "/read/", Service: "desk", Idempotent: true}
	writePlan = RequestPlan{Name: "order", Method: "POST", Prefix: "/order/", Service: "desk", BodySize: 50}
)

// fakeSidecar answers a request by its ID. "mute" is run, and its connection closed without an
// answer; when it is sent again it is refused as not run, as "refused" is at once. "lie" is run
// and refused as not run.
func fakeSidecar(t *testing.T, l *ledger.Ledger) (addr string, requestsMuted func() int64) {
	var muted atomic.Int64
	run := func(r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		l.RecordRun(ledger.Ran{ID: r.Header.Get(headerID), Service: "desk", Instance: "desk-0", Zone: "north", Digest: digest(r.Method, r.RequestURI, r.Header, body)})
	}
	refuse := func(w http.ResponseWriter) {
		w.Header().Set(headerRetryAfter, "1")
		w.Header().Set(headerOutcome, ledger.OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerID)
		switch {
		case id == "mute":
			if muted.Add(1) > 1 {
				refuse(w)
				return
			}
			run(r)
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			c.Close()
		case id == "lie":
			run(r)
			refuse(w)
		case id == "refused":
			refuse(w)
		default:
			run(r)
			w.Header().Set(headerID, id)
			w.Header().Set(headerDigest, digest("", "", w.Header(), []byte("done")))
			io.WriteString(w, "done")
		}
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), muted.Load
}

// checkVerdict checks the counts of a verdict and, if breach is set, that it has such a breach.
func checkVerdict(t *testing.T, l *ledger.Ledger, interrupted, notRun int, breach string) {
	t.Helper()
	v := l.Judge()
	if got := fmt.Sprint(v.Breaches); v.Interrupted != interrupted || v.NotRun != notRun || (breach == "") != (len(v.Breaches) == 0) || !strings.Contains(got, breach) {
		t.Errorf("interrupted %d %v, not run %d, breaches %q; want %d, %d, %q", v.Interrupted, v.Interruptions, v.NotRun, got, interrupted, notRun, breach)
	}
}

// A GET that net/http sends a second time by itself, after the first one ran and was
// interrupted, is not judged by the refusal of the second.
func TestResendByHTTPClient(t *testing.T) {
	l, c := ledger.New(), NewHTTPClient()
	defer c.CloseIdleConnections()
	addr, mute := fakeSidecar(t, l)
	ask := func(p RequestPlan, id string) ledger.Answered {
		return sendRequest(context.Background(), c, l, request{address: addr, plan: p, zone: "north", id: id})
	}
	if a := ask(readPlan, "first"); a.Outcome != "" || a.Mismatch != "" {
		t.Fatalf("%+v", a)
	}
	if a := ask(readPlan, "mute"); a.Outcome != ledger.OutcomeNotRun || a.UnansweredSends != 1 {
		t.Errorf("%+v", a)
	}
	if n := mute(); n != 2 {
		t.Fatalf("net/http sent it %d times", n)
	}
	checkVerdict(t, l, 1, 0, "")
}

// A refusal of the only send counts, on a new connection and on a used one.
func TestRefusalOfOnlySend(t *testing.T) {
	for _, p := range []RequestPlan{readPlan, writePlan} {
		l, c := ledger.New(), NewHTTPClient()
		defer c.CloseIdleConnections()
		addr, _ := fakeSidecar(t, l)
		for _, id := range []string{"refused", "first", "lie"} {
			if a := sendRequest(context.Background(), c, l, request{address: addr, plan: p, zone: "north", id: id}); a.UnansweredSends != 0 || a.Mismatch != "" {
				t.Errorf("%+v", a)
			}
		}
		checkVerdict(t, l, 0, 2, "lie was promised not to have run and ran 1 times")
	}
}

// failingConn fails all writes after the first.
type failingConn struct {
	net.Conn
	used atomic.Int64
}

func (d *failingConn) Write(b []byte) (int, error) {
	if d.used.Add(1) > 1 {
		return 0, errors.New("deaf")
	}
	return d.Conn.Write(b)
}

// A refusal of the second send also counts if nothing of the first was written.
func TestRefusalAfterUnwrittenSend(t *testing.T) {
	for _, p := range []RequestPlan{readPlan, writePlan} {
		l, c := ledger.New(), NewHTTPClient()
		defer c.CloseIdleConnections()
		addr, _ := fakeSidecar(t, l)
		var dialled int
		c.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialled++
			raw, err := new(net.Dialer).DialContext(ctx, network, addr)
			return &countingConn{Conn: &failingConn{Conn: raw}}, err
		}
		for _, id := range []string{"first", "lie"} {
			if a := sendRequest(context.Background(), c, l, request{address: addr, plan: p, zone: "north", id: id}); a.UnansweredSends != 0 || a.Outcome == ledger.OutcomeInterrupted {
				t.Errorf("%+v", a)
			}
		}
		if dialled != 2 {
			t.Errorf("%d connections", dialled)
		}
		checkVerdict(t, l, 0, 1, "lie was promised not to have run and ran 1 times")
	}
}

// Nothing was sent where nobody listens; a request that was interrupted and then met nobody is
// interrupted.
func TestNobodyListens(t *testing.T) {
	l, c := ledger.New(), NewHTTPClient()
	defer c.CloseIdleConnections()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		if r, err := http.ReadRequest(in); err == nil {
			body := "done"
			h := http.Header{headerID: {r.Header.Get(headerID)}}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 4\r\n\r\n%s", headerID, h.Get(headerID), headerDigest, digest("", "", h, []byte(body)), body)
		}
		http.ReadRequest(in)
		ln.Close()
	}()
	for _, want := range []string{"", ledger.OutcomeInterrupted, ledger.OutcomeNotRun} {
		if a := sendRequest(context.Background(), c, l, request{address: ln.Addr().String(), plan: readPlan, zone: "north", id: "to-" + want}); a.Outcome != want || a.Mismatch != "" {
			t.Errorf("%+v, want outcome %q", a, want)
		}
	}
}
