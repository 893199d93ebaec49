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

// fakeSidecar starts a server that stands in for a sidecar and its backend. To run a request means to
// record a run in the ledger. The ID of the request determines the answer:
//   - "mute" is run and its connection is closed without an answer. A second send is refused as not
//     run.
//   - "refused" is refused as not run, and is not run.
//   - "lie" is run and nevertheless refused as not run.
//   - Any other request is run and answered.
//
// requestsMuted returns how often "mute" was received.
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

// checkVerdict checks the counts of the ledger's verdict. If breach is set, one of the breaches must
// contain that text; otherwise there must be no breach.
func checkVerdict(t *testing.T, l *ledger.Ledger, interrupted, notRun int, breach string) {
	t.Helper()
	v := l.Judge()
	if got := fmt.Sprint(v.Breaches); v.Interrupted != interrupted || v.NotRun != notRun || (breach == "") != (len(v.Breaches) == 0) || !strings.Contains(got, breach) {
		t.Errorf("got interrupted %d %v, not run %d, breaches %q; want %d, %d, %q", v.Interrupted, v.Interruptions, v.NotRun, got, interrupted, notRun, breach)
	}
}

// TestResendByHTTPClient checks a GET that net/http resends by itself because a reused connection
// ends without an answer. The refusal of the second send as not run must not be applied to the
// first send, which was run: the request counts as interrupted.
func TestResendByHTTPClient(t *testing.T) {
	l, c := ledger.New(), NewHTTPClient()
	defer c.CloseIdleConnections()
	addr, requestsMuted := fakeSidecar(t, l)
	send := func(p RequestPlan, id string) ledger.Answered {
		return sendRequest(context.Background(), c, l, request{address: addr, plan: p, zone: "north", id: id})
	}
	if a := send(readPlan, "first"); a.Outcome != "" || a.Mismatch != "" {
		t.Fatalf("got answer %+v, want a correct one from the backend", a)
	}
	if a := send(readPlan, "mute"); a.Outcome != ledger.OutcomeNotRun || a.UnansweredSends != 1 {
		t.Errorf("got answer %+v, want a refusal as not run after 1 unanswered send", a)
	}
	if n := requestsMuted(); n != 2 {
		t.Fatalf("net/http sent the request %d times, want 2", n)
	}
	checkVerdict(t, l, 1, 0, "")
}

// TestRefusalOfOnlySend checks that a refusal as not run of the only send is final, on a new
// connection and on a reused one: it counts as not run, and it is a breach if the request was run.
func TestRefusalOfOnlySend(t *testing.T) {
	for _, p := range []RequestPlan{readPlan, writePlan} {
		l, c := ledger.New(), NewHTTPClient()
		defer c.CloseIdleConnections()
		addr, _ := fakeSidecar(t, l)
		for _, id := range []string{"refused", "first", "lie"} {
			if a := sendRequest(context.Background(), c, l, request{address: addr, plan: p, zone: "north", id: id}); a.UnansweredSends != 0 || a.Mismatch != "" {
				t.Errorf("got answer %+v, want no unanswered send and no mismatch", a)
			}
		}
		checkVerdict(t, l, 0, 2, "lie was promised not to have run and ran 1 times")
	}
}

// failingConn is a connection on which all writes after the first fail.
type failingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *failingConn) Write(b []byte) (int, error) {
	if c.writes.Add(1) > 1 {
		return 0, errors.New("simulated write failure")
	}
	return c.Conn.Write(b)
}

// TestRefusalAfterUnwrittenSend checks that, if the first send failed before any byte was written,
// the refusal of the second send as not run is final, as for a request that was sent once.
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
				t.Errorf("got answer %+v, want no unanswered send and no interruption", a)
			}
		}
		if dialled != 2 {
			t.Errorf("dialled %d connections, want 2", dialled)
		}
		checkVerdict(t, l, 0, 1, "lie was promised not to have run and ran 1 times")
	}
}

// TestConnectionRefused checks that a request counts as not run if the connection is refused and
// nothing was sent. If a first send was interrupted and the resend's connection is refused, the
// request counts as interrupted.
func TestConnectionRefused(t *testing.T) {
	l, c := ledger.New(), NewHTTPClient()
	defer c.CloseIdleConnections()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if r, err := http.ReadRequest(reader); err == nil {
			body := "done"
			h := http.Header{headerID: {r.Header.Get(headerID)}}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 4\r\n\r\n%s", headerID, h.Get(headerID), headerDigest, digest("", "", h, []byte(body)), body)
		}
		http.ReadRequest(reader)
		listener.Close()
	}()
	for _, want := range []string{"", ledger.OutcomeInterrupted, ledger.OutcomeNotRun} {
		if a := sendRequest(context.Background(), c, l, request{address: listener.Addr().String(), plan: readPlan, zone: "north", id: "to-" + want}); a.Outcome != want || a.Mismatch != "" {
			t.Errorf("got answer %+v, want outcome %q and no mismatch", a, want)
		}
	}
}
