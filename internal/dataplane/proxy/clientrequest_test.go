package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"curlewwalk/internal/dataplane/routing"
)

// echoRequest answers with the path and the body of the request.
func echoRequest(r receivedRequest) bool {
	b, _ := io.ReadAll(r.Body)
	r.respond(r.id, r.RequestURI+" "+string(b))
	return true
}

// Requests on one connection, some sent before the one ahead was answered, each get their own
// response, in order.
func TestPipelined(t *testing.T) {
	p := newProxyPair(t, echoRequest)
	c := p.client(t)
	var text strings.Builder
	const n = 20
	for i := range n {
		fmt.Fprintf(&text, "POST /once/%d HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n%02d", i, i)
	}
	c.send("%s", text.String())
	for i := range n {
		resp, body := c.receive()
		if want := fmt.Sprintf("/once/%d %02d", i, i); resp == nil || resp.StatusCode != 200 || body != want {
			t.Fatalf("response %d: %+v %q, want %q", i, resp, body, want)
		}
	}
	for uri, times := range p.receivedURIs() {
		if times != 1 {
			t.Errorf("%s ran %d times", uri, times)
		}
	}
}

// After an early rejection, while the body is still on its way, what follows is never taken for a
// request, and if the connection is reused, the next request gets its own response.
func TestBodyAfterRejection(t *testing.T) {
	smuggled := "POST /once/smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	long := strings.Repeat(smuggled, (2<<20)/len(smuggled))
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"too large, with its length":        {fmt.Sprintf("POST /once/long HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(long), long), 413},
		"too large, in chunks":              {fmt.Sprintf("POST /once/long HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long), 413},
		"no such route":                     {fmt.Sprintf("POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled), 404},
		"rejected before its body was read": {fmt.Sprintf("POST /once/full HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled), 503},
		"expecting 100-continue":            {fmt.Sprintf("POST /once/full HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled), 503},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxyPair(t, echoRequest)
			if c.status == 503 {
				p.outbound.Bodies.MaxTotal = 1
			}
			conn := p.client(t)
			go conn.send("%sPOST /once/next HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", c.text)
			resp, _ := conn.receive()
			if resp == nil || resp.StatusCode != c.status || resp.Header.Get(HeaderOutcome) != string(routing.NotRun) {
				t.Fatalf("%+v", resp)
			}
			if resp, body := conn.receive(); resp != nil && body != "/once/next " {
				t.Errorf("then came %+v %q", resp, body)
			}
			for uri := range p.receivedURIs() {
				if uri != "/once/next" {
					t.Errorf("%s ran", uri)
				}
			}
		})
	}
}

// Requests whose ends two readers might see at different places are rejected, or reach the backend
// as one, complete and unchanged.
func TestAmbiguousLength(t *testing.T) {
	inner := "POST /once/smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"two lengths":             "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef" + inner,
		"a list of lengths":       "Content-Length: 5, 6\r\n\r\nabcdef" + inner,
		"a signed length":         "Content-Length: +5\r\n\r\nabcde" + inner,
		"a length and chunks":     "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"chunks of another name":  "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + inner,
		"chunks twice":            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"compressed chunks":       "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + inner,
		"a folded name":           "Transfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nabc" + inner,
		"an odd chunk":            "Transfer-Encoding: chunked\r\n\r\n1;a=b\nx\r\n0\r\n\r\n",
		"a chunk's length signed": "Transfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxyPair(t, echoRequest)
			c := p.client(t)
			c.send("POST /once/first HTTP/1.1\r\nHost: x\r\n%s", text)
			c.CloseWrite()
			for {
				resp, body := c.receive()
				if resp == nil {
					break
				}
				if resp.StatusCode == 200 && body != "/once/first x" {
					t.Errorf("%q", body)
				}
			}
			for uri, n := range p.receivedURIs() {
				if uri != "/once/first" || n > 1 {
					t.Errorf("%s ran %d times", uri, n)
				}
			}
		})
	}
}

// A client that resets its connection within its body, or before its response, affects no other
// one; a request whose body is cut short does not run.
func TestClientResets(t *testing.T) {
	p := newProxyPair(t, echoRequest)
	for range 30 {
		c := p.client(t)
		c.send("POST /once/cut HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
		c.SetLinger(0)
		c.Close()
		c = p.client(t)
		c.send("POST /once/gone HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
		c.SetLinger(0)
		c.Close()
		c = p.client(t)
		c.send("POST /once/stays HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nmine")
		if resp, body := c.receive(); resp == nil || resp.StatusCode != 200 || body != "/once/stays mine" {
			t.Fatalf("%+v %q", resp, body)
		}
	}
	if got := p.receivedURIs(); got["/once/cut"] != 0 || got["/once/stays"] != 30 || got["/once/gone"] > 30 {
		t.Errorf("%v", got)
	}
}

// A client's trailer is passed on, but for hop-by-hop fields and those that only sidecars may set,
// as with its header. No backend is ejected for it.
func TestClientTrailers(t *testing.T) {
	got := make(chan http.Header, 9)
	p := newProxyPair(t, func(r receivedRequest) bool {
		io.Copy(io.Discard, r.Body)
		got <- r.Trailer
		r.respond(r.id, "ok")
		return true
	})
	for _, fields := range []string{
		"X-Sum: 7\r\n", "X-Sum: 7\r\nContent-Length: 3\r\n", "X-Sum: 7\r\nTransfer-Encoding: chunked\r\n",
		"X-Sum: 7\r\nTrailer: x\r\n", "X-Sum: 7\r\nConnection: close\r\n", "X-Sum: 7\r\n" + HeaderCaller + ": forged\r\n",
	} {
		c := p.client(t)
		c.send("POST /once/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n%s\r\n", fields)
		resp, body := c.receive()
		if resp == nil || resp.StatusCode != 200 || body != "ok" {
			t.Errorf("%q: %+v %q", fields, resp, body)
			continue
		}
		if h := <-got; len(h) != 1 || h.Get("X-Sum") != "7" {
			t.Errorf("%q came as %v", fields, h)
		}
	}
}

// A client that knows no chunks gets a response with a trailer with its length instead.
func TestTrailersForHTTP10(t *testing.T) {
	p := newProxyPair(t, func(r receivedRequest) bool {
		io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\nFor: "+r.id+"\r\n\r\n2\r\nok\r\n0\r\nSum: 7\r\n\r\n")
		return true
	})
	c := p.client(t)
	c.send("GET /look/x HTTP/1.0\r\nHost: x\r\n\r\n")
	resp, body := c.receive()
	if resp == nil || resp.StatusCode != 200 || body != "ok" || resp.ContentLength != 2 {
		t.Errorf("%+v %q", resp, body)
	}
}
