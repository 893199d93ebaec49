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

// sidecarStats is the part of GET /v1/stats that these tests read.
type sidecarStats struct {
	Closed   bool `json:"closed"`
	Outbound struct {
		Open int64 `json:"open"`
	} `json:"near"`
	Inbound struct {
		Open int64 `json:"open"`
	} `json:"far"`
}

// awaitStats waits until the statistics of a sidecar are as wanted.
func (r *rig) awaitStats(machine int, what string, want func(s sidecarStats) bool) {
	r.t.Helper()
	must(r.t, fleet.Await(r.ctx, what, func(ctx context.Context) bool {
		var s sidecarStats
		_, err := r.Sidecars[machine].Get(ctx, "/v1/stats", &s)
		return err == nil && want(s)
	}))
}

// connectionAnswer is the answer on a connection; err is set if it ended without one.
type connectionAnswer struct {
	status  int
	outcome string
	err     error
}

// sendOnNewConnection sends a request to a sidecar on a connection of its own.
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

// restart restarts a sidecar with further settings.
func (r *rig) restart(machine int, args ...string) {
	r.t.Helper()
	r.Sidecars[machine].Stop()
	r.Sidecars[machine].AddArgs(args...)
	must(r.t, r.Sidecars[machine].Start())
	must(r.t, r.AwaitServing(r.ctx, 1, r.known))
}

// A stopping sidecar whose backend still runs something accepts the calls of that backend, which can't be
// told from clients' requests there; but none that may take longer than the stop.
func TestStopRefusesLongRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.restart(1, "--caller=desk", "--drain=2500ms")
	running, release := make(chan struct{}, 9), make(chan struct{})
	hold := http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		running <- struct{}{}
		<-release
	})
	r.backend(1, hold)
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
	// Its deadline is 3 s away.
	go r.sendOnNewConnection(1, "POST", "/once/", second)
	if a := receive(r, second); a.err != nil || a.status != 503 || a.outcome != ledger.OutcomeNotRun {
		t.Errorf("what outlasts the stop: %+v", a)
	}
	if n := runs.Load(); n != 0 {
		t.Errorf("it ran %d times", n)
	}
	close(release)
	if a := receive(r, first); a.err != nil || a.status != 200 {
		t.Errorf("what was running: %+v", a)
	}
}

// When the time to stop is over, all that is still open is answered: refused if it was not begun, with an
// unknown outcome if it was. No connection is closed without an answer.
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
	const asked = 12
	begun := make(chan connectionAnswer, asked)
	for range asked {
		go r.sendOnNewConnection(0, "POST", "/once/", begun)
	}
	r.awaitStats(1, "all to run or wait", func(s sidecarStats) bool { return s.Inbound.Open == asked })
	exit := make(chan int, 1)
	go func() { exit <- r.Sidecars[0].Stop() }()
	outcomes := map[string]int{}
	for range asked {
		a := receive(r, begun)
		if a.err != nil {
			t.Errorf("no answer: %v", a.err)
			continue
		}
		outcomes[fmt.Sprint(a.status, " ", a.outcome)]++
	}
	ran := len(running)
	if outcomes["503 not-run"] != asked-ran || outcomes["502 unknown"] != ran || ran == 0 || ran == asked {
		t.Errorf("%d ran of %d: %v", ran, asked, outcomes)
	}
	if code := receive(r, exit); code != 0 {
		t.Errorf("it ended with %d", code)
	}
}

// A replica that stops answers operators on the connections that they keep: a request that meets its end is
// answered as not handled, so that they try another replica.
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
		t.Fatalf("%+v %v", resp, err)
	}
	exit := make(chan int, 1)
	go func() { exit <- r.Replicas[0].Stop() }()
	_, err = in.Peek(1) // the close is announced, or the connection has ended
	if err != nil {
		t.Fatalf("the close was not announced: %v", err)
	}
	if resp, err := get(); err != nil || resp.StatusCode != http.StatusRequestTimeout || !resp.Close {
		t.Errorf("%+v %v", resp, err)
	}
	if code := receive(r, exit); code != 0 {
		t.Errorf("it ended with %d", code)
	}
}
