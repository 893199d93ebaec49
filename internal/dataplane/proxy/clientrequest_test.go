package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"curlewwalk/internal/dataplane/routing"
)

// echoRequest responds with the path and the body of the request.
func echoRequest(r receivedRequest) bool {
	b, _ := io.ReadAll(r.Body)
	r.respond(r.id, r.RequestURI+" "+string(b))
	return true
}

// TestPipelined checks that pipelined requests on one connection each get their own response, in
// order.
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
			t.Fatalf("response %d: got %+v %q, want %q", i, resp, body, want)
		}
	}
	for uri, times := range p.receivedURIs() {
		if times != 1 {
			t.Errorf("%s ran %d times", uri, times)
		}
	}
}

// TestBodyAfterRejection checks that after an early rejection, while the body is still being sent,
// the rest of the body is never parsed as a request. If the connection is reused, the next request
// must get its own response.
func TestBodyAfterRejection(t *testing.T) {
	smuggled := "POST /once/smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	long := strings.Repeat(smuggled, (2<<20)/len(smuggled))
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"too large, with Content-Length":    {fmt.Sprintf("POST /once/long HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(long), long), 413},
		"too large, chunked":                {fmt.Sprintf("POST /once/long HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long), 413},
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
				t.Fatalf("got response %+v, want a rejection as not run", resp)
			}
			if resp, body := conn.receive(); resp != nil && body != "/once/next " {
				t.Errorf("got second response %+v %q, want the one to /once/next or none", resp, body)
			}
			for uri := range p.receivedURIs() {
				if uri != "/once/next" {
					t.Errorf("%s ran, want only /once/next", uri)
				}
			}
		})
	}
}

// TestAmbiguousLength checks that requests whose end different parsers may place differently are
// rejected, or reach the backend as one complete and unchanged request.
func TestAmbiguousLength(t *testing.T) {
	inner := "POST /once/smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"two lengths":                   "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef" + inner,
		"list of lengths":               "Content-Length: 5, 6\r\n\r\nabcdef" + inner,
		"signed length":                 "Content-Length: +5\r\n\r\nabcde" + inner,
		"length and chunked":            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"unknown coding":                "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + inner,
		"chunked twice":                 "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"gzip and chunked":              "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + inner,
		"space after field name":        "Transfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nabc" + inner,
		"bare LF after chunk extension": "Transfer-Encoding: chunked\r\n\r\n1;a=b\nx\r\n0\r\n\r\n",
		"signed chunk length":           "Transfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n" + inner,
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
					t.Errorf("backend echoed %q, want the first request only", body)
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

// TestClientResets checks that a client that resets its connection within its body, or before its
// response, affects no other client. A request with a truncated body must not run.
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
			t.Fatalf("got response %+v %q, want /once/stays mine", resp, body)
		}
	}
	if got := p.receivedURIs(); got["/once/cut"] != 0 || got["/once/stays"] != 30 || got["/once/gone"] > 30 {
		t.Errorf("requests that reached the backend: %v, want none of /once/cut, 30 of /once/stays and at most 30 of /once/gone", got)
	}
}

// TestClientTrailers checks that a client's trailer is forwarded without hop-by-hop fields and
// without fields that only sidecars may set, as for the header. No backend may be ejected because
// of such a trailer.
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
			t.Errorf("trailer %q: got response %+v %q, want status 200 with body ok", fields, resp, body)
			continue
		}
		if h := <-got; len(h) != 1 || h.Get("X-Sum") != "7" {
			t.Errorf("trailer %q reached the backend as %v, want X-Sum: 7 only", fields, h)
		}
	}
}

// TestTrailersForHTTP10 checks that an HTTP/1.0 client, which does not support chunked encoding,
// gets the response with a Content-Length and without the trailer.
func TestTrailersForHTTP10(t *testing.T) {
	p := newProxyPair(t, func(r receivedRequest) bool {
		io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\nFor: "+r.id+"\r\n\r\n2\r\nok\r\n0\r\nSum: 7\r\n\r\n")
		return true
	})
	c := p.client(t)
	c.send("GET /look/x HTTP/1.0\r\nHost: x\r\n\r\n")
	resp, body := c.receive()
	if resp == nil || resp.StatusCode != 200 || body != "ok" || resp.ContentLength != 2 {
		t.Errorf("got response %+v %q, want ok with a length of 2", resp, body)
	}
}
