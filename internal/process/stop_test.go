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

// testClosingResponse is the closing response of these tests.
const testClosingResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// blockedListener accepts nothing until it is released: connections made meanwhile are with the
// kernel alone.
type blockedListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l blockedListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// serve serves h on a listener. stop shuts the server down; it is done when the server has ended.
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

// listen listens on a free port.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln.(*net.TCPListener)
}

// dial connects and sends pipelined requests.
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

// status reads the next response on a connection.
func status(t *testing.T, responses *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// A client whose connection the kernel has accepted for a server that stops gets the closing response,
// though the server itself had not accepted it yet. (DESIGN 11.3)
func TestStopWithPendingConnection(t *testing.T) {
	ln := blockedListener{listen(t), make(chan struct{})}
	stop := serve(t, ln, http.NotFoundHandler())
	c := dial(t, ln.Addr(), 1)
	done := stop()
	select {
	case <-done:
		t.Error("the server stopped with a connection pending")
	case <-time.After(10 * shutdownPollInterval):
	}
	close(ln.released)
	if got := status(t, bufio.NewReader(c)); got != http.StatusRequestTimeout && got != http.StatusNotFound {
		t.Errorf("got %d", got)
	}
	c.Close()
	<-done
}

// A pipelined request that is already running when the server stops gets its own response: the closing
// response would promise that it has not run.
func TestStopWhilePipelinedRequestRuns(t *testing.T) {
	ln := listen(t)
	var ran atomic.Int32
	second, release := make(chan struct{}), make(chan struct{})
	stop := serve(t, ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ran.Add(1) == 2 {
			close(second)
			<-release
		}
		io.WriteString(w, "good day")
	}))
	c := dial(t, ln.Addr(), 2)
	responses := bufio.NewReader(c)
	if got := status(t, responses); got != http.StatusOK {
		t.Fatalf("the first got %d", got)
	}
	<-second
	done := stop()
	// The closing response would be sent within a few polls.
	select {
	case <-done:
		t.Error("the server stopped while a request ran")
	case <-time.After(10 * shutdownPollInterval):
	}
	close(release)
	if got := status(t, responses); got != http.StatusOK {
		t.Errorf("the second ran and got %d", got)
	}
	c.Close()
	<-done
}

// A part that does not end delays the end of its process for a short time only: the grace time is
// nearly over when the parts are ended.
func TestEndIsBounded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) { t.Errorf("%s: %v\n%s", name, cause, stack) })
	p := &Process{Context: ctx, cancel: cancel, Actors: actors}
	stuck := make(chan struct{})
	defer close(stuck)
	actors.Go(ctx, "stuck", func(context.Context) { <-stuck })
	began := time.Now()
	p.Close()
	if took := time.Since(began); took > time.Second {
		t.Errorf("the process went on for %v", took)
	}
	if ctx.Err() == nil {
		t.Error("its context was not cancelled")
	}
}
