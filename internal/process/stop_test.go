package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/internal/actor"
)

// testClosingResponse is the closing response in these tests.
const testClosingResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// blockedListener accepts no connection until it is released. Until then, new connections are
// pending in the kernel.
type blockedListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l blockedListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// serve serves h on a listener. stop starts the shutdown of the server and returns a channel that
// is closed when the shutdown is complete.
func serve(t *testing.T, ln net.Listener, h http.Handler) (stop func() (done <-chan struct{})) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	t.Cleanup(actors.Stop)
	p := &Process{Context: ctx, Actors: actors}
	server := p.Serve(ln, h)
	return func() <-chan struct{} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			server.CloseIdle(ctx, []byte(testClosingResponse))
			server.Shutdown(ctx)
		}()
		return done
	}
}

// listen opens a listener on a free port.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln.(*net.TCPListener)
}

// dial opens a connection and sends the given number of pipelined requests.
func dial(t *testing.T, addr net.Addr, requests int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	for n := range requests {
		if _, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", n+1); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// readStatus reads the next response and returns its status.
func readStatus(t *testing.T, responses *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against resetting connections that are still pending in the kernel when the server stops.
// The server must accept such a connection and answer it, with the closing response or the response
// of the handler, before it closes the listener. (DESIGN 11.3)
func TestStopWithPendingConnection(t *testing.T) {
	ln := blockedListener{listen(t), make(chan struct{})}
	stop := serve(t, ln, http.NotFoundHandler())
	c := dial(t, ln.Addr(), 1)
	done := stop()
	select {
	case <-done:
		t.Error("the server stopped while a connection was pending")
	case <-time.After(10 * shutdownPollInterval):
	}
	close(ln.released)
	if got := readStatus(t, bufio.NewReader(c)); got != http.StatusRequestTimeout && got != http.StatusNotFound {
		t.Errorf("got status %d, want 408 or 404", got)
	}
	c.Close()
	<-done
}

// A pipelined request that is already running when the server stops gets its own response. The
// closing response would wrongly state that the request was not run.
func TestStopWhilePipelinedRequestRuns(t *testing.T) {
	ln := listen(t)
	var ran atomic.Int32
	secondRunning, release := make(chan struct{}), make(chan struct{})
	stop := serve(t, ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ran.Add(1) == 2 {
			close(secondRunning)
			<-release
		}
		io.WriteString(w, "response body")
	}))
	c := dial(t, ln.Addr(), 2)
	responses := bufio.NewReader(c)
	if got := readStatus(t, responses); got != http.StatusOK {
		t.Fatalf("first request: got status %d, want 200", got)
	}
	<-secondRunning
	done := stop()
	// A wrong closing response would be sent within a few poll intervals.
	select {
	case <-done:
		t.Error("the server stopped while a request was running")
	case <-time.After(10 * shutdownPollInterval):
	}
	close(release)
	if got := readStatus(t, responses); got != http.StatusOK {
		t.Errorf("second request, which ran: got status %d, want 200", got)
	}
	c.Close()
	<-done
}

// A goroutine that does not end delays Close for a short time only. Little of the grace period is
// left when Close is called.
func TestCloseIsBounded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	p := &Process{Context: ctx, cancel: cancel, Actors: actors}
	stuck := make(chan struct{})
	defer close(stuck)
	actors.Go(ctx, "stuck", func(context.Context) { <-stuck })
	began := time.Now()
	p.Close()
	if took := time.Since(began); took > time.Second {
		t.Errorf("Close took %v, want at most 1 s", took)
	}
	if ctx.Err() == nil {
		t.Error("Close did not cancel the context of the process")
	}
}
