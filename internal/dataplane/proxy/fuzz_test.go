package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// FuzzBackendAnswer checks the handling of arbitrary bytes that a backend writes as a response
// before it closes the connection. Only a response that names the attempt may be forwarded, an
// attempt may be reported as not run only if the backend says so, and the next attempt must get its
// own response.
func FuzzBackendAnswer(f *testing.F) {
	responses := make(chan []byte, 1)
	b := newFakeBackend(f, func(r receivedRequest) bool {
		if r.id != "own" {
			return respondOK(r)
		}
		io.Copy(io.Discard, r.Body)
		r.conn.Write(<-responses)
		return false
	})
	for _, s := range []string{
		responseText("own", "ok"), responseText("other", "late") + responseText("own", "ok"), responseText("own", "ok") + "more", responseText("own", "", "Declined: 1"),
		"HTTP/1.1 100 Continue\r\n\r\n" + responseText("own", "ok"), "HTTP/1.1 200 OK\r\nFor: own\r\n\r\nends with the connection",
		"HTTP/1.1 200 OK\r\nFor: own\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n2\r\nok\r\n0\r\nSum: 7\r\n\r\n",
		"HTTP/1.1 200 OK\r\nFor: own\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 099 OK\r\nFor: own\r\n\r\n", "HTTP/1.1 +99 OK\r\nFor: own\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 999 OK\r\nFor: own\r\nContent-Length: -0\r\n\r\n",
		"HTTP/9.9 204\r\nFor: own\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nFor: own\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 101 Other\r\nFor: own\r\n\r\n", "\x00",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		responses <- text
		response := b.send(Attempt{ID: "own", Timeout: time.Second, Body: []byte("x")}, nil)
		switch response.Outcome {
		case routing.Answered:
			if response.Header.Get("For") != "own" || response.Status < 200 || response.Status > 999 {
				t.Errorf("got status %d, response to %q", response.Status, response.Header.Get("For"))
			}
			for name := range response.Header {
				if isHopByHop(name) && name != "Content-Length" {
					t.Errorf("hop-by-hop field %s is forwarded", name)
				}
			}
		case routing.NotRun:
			if !bytes.Contains(bytes.ToLower(text), []byte("declined")) && !bytes.Contains(bytes.ToLower(text), []byte("elsewhere")) {
				t.Errorf("reported as not run although the backend did not decline: %+v", response)
			}
		case routing.Unknown:
		default:
			t.Errorf("invalid outcome: %+v", response)
		}
		// The backend may just then be closing a connection that the pool still considers usable.
		response = b.send(Attempt{ID: "next"}, nil)
		for tries := 0; response.Outcome == routing.Unknown && tries < 3; tries++ {
			response = b.send(Attempt{ID: "next"}, nil)
		}
		if response.Outcome != routing.Answered || response.Header.Get("For") != "next" || string(response.Body) != "ok" {
			t.Errorf("response to the next attempt: %+v", response)
		}
	})
}

// FuzzClientRequest checks the handling of arbitrary bytes that a client writes. The backend must
// get only requests that the bytes contain, each unchanged. The client must get complete responses:
// at most one for each request, and one for invalid input.
func FuzzClientRequest(f *testing.F) {
	got := make(chan plainRequest, 1<<10)
	p := newProxyPair(f, func(r receivedRequest) bool {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			got <- plainRequest{r.Method, r.RequestURI, string(body)}
			r.respond(r.id, string(body))
		}
		return err == nil
	})
	for _, s := range []string{
		"POST /once/a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nokGET /look/b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /once/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;e=1\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n",
		"POST /once/a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /once/a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok", "GET http://x/look/b?c#d HTTP/1.0\r\n\r\n",
		"GET //look//%2f HTTP/1.1\r\nHost: x\r\nConnection: close, Host\r\n\r\n", "HEAD /look/ HTTP/1.1\nHost: x\n\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", "\x16\x03\x01", "GET /look/ HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	late := lateRequests{}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		go func() {
			c.Write(text)
			c.(*net.TCPConn).CloseWrite()
		}()
		sent := requests(text)
		outcomes := readOutcomes(t, c, sent)
		if len(outcomes) > len(sent)+1 {
			t.Errorf("%d responses to %d requests", len(outcomes), len(sent))
		}
		pending := sent
		for len(got) > 0 {
			pending = late.match(t, pending, <-got)
		}
		late.add(pending, outcomes[min(len(sent)-len(pending), len(outcomes)):])
	})
}

// lateLimit is how long after its input a request may still arrive at the backend: the deadline
// of the contract in proxyPairConfiguration, 3 s, and a second for the backend to read it.
const lateLimit = 4 * time.Second

// lateRequests holds the requests of earlier inputs that the backend has not received, but may
// still receive once until the time given for each: those without a response, and those with an
// unknown outcome. There are such requests because the client closes its side of the connection
// after its last request. The sidecar then cancels the request, which may already be on its way
// to the backend.
type lateRequests map[plainRequest][]time.Time

// match finds a received request among the pending requests of the present input, which arrive
// in their order, or else among the late ones. It returns the requests that are pending
// afterwards. Those before the received request were rejected.
func (l lateRequests) match(t *testing.T, pending []plainRequest, received plainRequest) []plainRequest {
	t.Helper()
	if i := slices.Index(pending, received); i >= 0 {
		return pending[i+1:]
	}
	now := time.Now()
	l[received] = slices.DeleteFunc(l[received], now.After)
	if len(l[received]) == 0 {
		t.Fatalf("the backend got %q, which the client did not send", received)
	}
	l[received] = l[received][1:]
	return pending
}

// add adds the pending requests of an input that may still be received. outcomes are those of
// the pending requests that got a response.
func (l lateRequests) add(pending []plainRequest, outcomes []string) {
	until := time.Now().Add(lateLimit)
	for i, r := range pending {
		if i >= len(outcomes) || outcomes[i] == string(routing.Unknown) {
			l[r] = append(l[r], until)
		}
	}
}

// readOutcomes reads the final responses to the requests that were sent until the connection
// ends, and returns their outcomes, which are empty for the backend's responses. Each response
// must be complete.
func readOutcomes(t *testing.T, conn net.Conn, sent []plainRequest) (outcomes []string) {
	t.Helper()
	reader := bufio.NewReader(conn)
	for {
		method := http.MethodGet
		if len(outcomes) < len(sent) {
			method = sent[len(outcomes)].method
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return outcomes
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		outcomes = append(outcomes, resp.Header.Get(HeaderOutcome))
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Errorf("response %d is incomplete: %v", len(outcomes), err)
		}
	}
}

// plainRequest holds the parts of a request that must be forwarded unchanged.
type plainRequest struct{ method, uri, body string }

// requests parses the requests in a client's text, up to the first invalid one.
func requests(text []byte) (parsed []plainRequest) {
	reader := bufio.NewReader(bytes.NewReader(text))
	for {
		if n := len(parsed); n > 0 && parsed[n-1].method == http.MethodPost {
			skipNewlines(reader)
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return parsed
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return append(parsed, plainRequest{method: r.Method, uri: "incomplete body"})
		}
		parsed = append(parsed, plainRequest{r.Method, r.RequestURI, string(body)})
	}
}

// skipNewlines skips the newlines that some clients send after the body of a POST, as net/http's
// server does.
func skipNewlines(reader *bufio.Reader) {
	next, _ := reader.Peek(4)
	for _, b := range next {
		if b != '\r' && b != '\n' {
			return
		}
		reader.Discard(1)
	}
}
