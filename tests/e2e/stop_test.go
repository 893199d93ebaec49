package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// sidecarStats holds the fields of GET /v1/stats that these tests read.
type sidecarStats struct {
	Closed   bool `json:"closed"`
	Outbound struct {
		Open int64 `json:"open"`
	} `json:"near"`
	Inbound struct {
		Open int64 `json:"open"`
	} `json:"far"`
}

// awaitStats waits until want returns true for the statistics of a sidecar.
func (r *rig) awaitStats(machine int, what string, want func(s sidecarStats) bool) {
	r.t.Helper()
	must(r.t, fleet.Await(r.ctx, what, func(ctx context.Context) bool {
		var s sidecarStats
		_, err := r.Sidecars[machine].Get(ctx, "/v1/stats", &s)
		return err == nil && want(s)
	}))
}

// connectionAnswer is the answer to a request on its own connection. err is set if the connection
// ended without a complete answer.
type connectionAnswer struct {
	status  int
	outcome string
	err     error
}

// sendOnNewConnection sends a request to the sidecar of a machine on a new connection, and delivers
// the answer to answers.
func (r *rig) sendOnNewConnection(machine int, method, uri string, answers chan<- connectionAnswer) {
	c, err := net.Dial("tcp", r.RequestAddress(machine))
	if err != nil {
		answers <- connectionAnswer{err: err}
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", method, uri)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		answers <- connectionAnswer{err: err}
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	answers <- connectionAnswer{resp.StatusCode, resp.Header.Get(outcomeHeader), err}
}

// restart restarts a sidecar with additional settings.
func (r *rig) restart(machine int, args ...string) {
	r.t.Helper()
	r.Sidecars[machine].Stop()
	r.Sidecars[machine].AddArgs(args...)
	must(r.t, r.Sidecars[machine].Start())
	must(r.t, r.AwaitServing(r.ctx, 1, r.backendCount))
}

// TestStopRefusesLongRequests checks that a stopping sidecar refuses requests whose deadline is after
// the end of the stop. While its backend still runs a request, the sidecar must keep accepting that
// backend's own calls. On the request address it cannot distinguish them from clients' requests, so it
// accepts any request that ends before the stop does.
func TestStopRefusesLongRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.restart(1, "--caller=desk", "--drain=2500ms")
	running, release := make(chan struct{}, 9), make(chan struct{})
	blockingHandler := http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		running <- struct{}{}
		<-release
	})
	r.backend(1, blockingHandler)
	first, second := make(chan connectionAnswer, 1), make(chan connectionAnswer, 1)
	go r.sendOnNewConnection(0, "POST", "/once/", first)
	receive(r, running)
	var runs atomic.Int64
	r.backend(0, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		runs.Add(1)
		<-release
	}))
	r.Sidecars[1].Signal(syscall.SIGTERM)
	r.awaitStats(1, "clients to be refused", func(s sidecarStats) bool { return s.Closed })
	// The deadline of this request is 3 s away, after the end of the stop.
	go r.sendOnNewConnection(1, "POST", "/once/", second)
	if a := receive(r, second); a.err != nil || a.status != 503 || a.outcome != ledger.OutcomeNotRun {
		t.Errorf("request that may outlast the stop: got %+v, want 503 not-run", a)
	}
	if n := runs.Load(); n != 0 {
		t.Errorf("the refused request ran %d times, want 0", n)
	}
	close(release)
	if a := receive(r, first); a.err != nil || a.status != 200 {
		t.Errorf("running request: got %+v, want 200", a)
	}
}

// TestStopAnswersOpenRequests checks that all open requests are answered when the drain time of a
// stopping sidecar ends. A request that has not started gets the outcome not-run, and a started one
// gets the outcome unknown. No connection may be closed without an answer.
func TestStopAnswersOpenRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.restart(0, "--drain=1s")
	running, release := make(chan struct{}, 20), make(chan struct{})
	t.Cleanup(func() { close(release) })
	r.backend(1, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		running <- struct{}{}
		<-release
	}))
	const sent = 12
	begun := make(chan connectionAnswer, sent)
	for range sent {
		go r.sendOnNewConnection(0, "POST", "/once/", begun)
	}
	r.awaitStats(1, "all requests to run or wait", func(s sidecarStats) bool { return s.Inbound.Open == sent })
	exit := make(chan int, 1)
	go func() { exit <- r.Sidecars[0].Stop() }()
	outcomes := map[string]int{}
	for range sent {
		a := receive(r, begun)
		if a.err != nil {
			t.Errorf("a connection ended without an answer: %v", a.err)
			continue
		}
		outcomes[fmt.Sprint(a.status, " ", a.outcome)]++
	}
	ran := len(running)
	if outcomes["503 not-run"] != sent-ran || outcomes["502 unknown"] != ran || ran == 0 || ran == sent {
		t.Errorf("%d of %d requests ran, with answers %v; want 502 unknown for each that ran, 503 not-run for the others", ran, sent, outcomes)
	}
	if code := receive(r, exit); code != 0 {
		t.Errorf("the process exited with code %d, want 0", code)
	}
}

// TestReplicaStopAnswers checks that a stopping replica answers operators on open keep-alive
// connections. A request that arrives during the close must be answered as not handled, so that the
// operator can try another replica.
func TestReplicaStopAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	c, err := net.Dial("tcp", r.Replicas[0].Control)
	must(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(c)
	get := func() (*http.Response, error) {
		io.WriteString(c, "GET /live HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
	if resp, err := get(); err != nil || resp.StatusCode != 200 {
		t.Fatalf("got %+v, error %v; want 200", resp, err)
	}
	exit := make(chan int, 1)
	go func() { exit <- r.Replicas[0].Stop() }()
	_, err = in.Peek(1) // the close is announced, or the connection has ended
	if err != nil {
		t.Fatalf("the replica did not announce the close of the connection: %v", err)
	}
	if resp, err := get(); err != nil || resp.StatusCode != http.StatusRequestTimeout || !resp.Close {
		t.Errorf("got %+v, error %v; want 408 and a closed connection", resp, err)
	}
	if code := receive(r, exit); code != 0 {
		t.Errorf("the process exited with code %d, want 0", code)
	}
}
