package e2e

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/internal/watch"
	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// TestDrainReport checks the drain report of an evacuated zone. While the zone still runs a request,
// the report must show one open request and must not say that the drain is done.
func TestDrainReport(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	running, release := make(chan struct{}, 1), make(chan struct{})
	r.backend(1, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		running <- struct{}{}
		<-release
	}))
	first := make(chan answer, 1)
	go func() { first <- r.send("POST", "/once/", "x") }()
	receive(r, running)
	reply, err := r.Operate(r.ctx, r.Replicas[0], "PUT", "/v1/localities/south/emptied", nil)
	must(t, err)
	awaitReport := func(want func(d watch.DrainStatus) bool) {
		t.Helper()
		must(t, awaitCondition(r.ctx, func(ctx context.Context) bool {
			var d watch.DrainStatus
			_, err := r.Replicas[0].Get(ctx, "/v1/localities/south", &d)
			return err == nil && d.Revision == reply.Revision && len(d.LaggingNodes) == 0 && want(d)
		}))
	}
	awaitReport(func(d watch.DrainStatus) bool { return d.OpenRequests == 1 && !d.Done && d.DoneFor == "" })
	close(release)
	if a := receive(r, first); a.StatusCode != 200 {
		t.Errorf("the request that ran in the evacuated zone got %d, want 200", a.StatusCode)
	}
	awaitReport(func(d watch.DrainStatus) bool { return d.OpenRequests == 0 && d.Done && d.DoneFor != "" })
}

// TestConnectionCloseAnnounced checks that a client gets an answer when it writes on an idle
// connection just as its sidecar closes the connection. The answer must say that the request was not
// run, so that the client can retry it safely.
func TestConnectionCloseAnnounced(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	var runs atomic.Int64
	r.backend(1, http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) { runs.Add(1) }))
	c, err := net.Dial("tcp", r.RequestAddress(0))
	must(t, err)
	defer c.Close()
	in := bufio.NewReader(c)
	request := "POST /once/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
	io.WriteString(c, request)
	resp, err := http.ReadResponse(in, nil)
	must(t, err)
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != 200 {
		t.Fatalf("first request: got %d, want 200", resp.StatusCode)
	}
	stopped := make(chan int, 1)
	go func() { stopped <- r.Sidecars[0].Stop() }()
	must(t, awaitUnready(r, 0))
	must(t, fleet.Await(r.ctx, "the sidecar to announce the close of the connection", func(context.Context) bool {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := in.Peek(1)
		return err == nil
	}))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, request)
	resp, err = http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no answer to a request during the close: %v", err)
	}
	if resp.StatusCode != 408 || resp.Header.Get(outcomeHeader) != "not-run" || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("request during the close: got %d %v, want 408 not-run with Retry-After and a closed connection", resp.StatusCode, resp.Header)
	}
	if code := receive(r, stopped); code != 0 || runs.Load() != 1 {
		t.Errorf("the sidecar exited with code %d after %d runs, want code 0 and 1 run", code, runs.Load())
	}
}

// TestLeaving checks that a leaving backend gets no new requests once its sidecar knows of the
// departure. Its running request must finish, and another backend must get all new requests.
func TestLeaving(t *testing.T) {
	r := newRig(t)
	var runs [2]atomic.Int64
	running, release := make(chan struct{}, 9), make(chan struct{})
	leaving := r.backend(1, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		runs[0].Add(1)
		running <- struct{}{}
		<-release
		io.WriteString(w, "finished")
	}))
	first := make(chan answer, 1)
	go func() { first <- r.send("POST", "/once/", "x") }()
	receive(r, running)
	r.backend(1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs[1].Add(1) }))
	must(t, leaving.Leave(r.ctx))
	for range 20 {
		if a := r.send("POST", "/once/", "x"); a.StatusCode != 200 {
			t.Errorf("got %d %s, want 200", a.StatusCode, a.body)
		}
	}
	if runs[0].Load() != 1 || runs[1].Load() != 20 {
		t.Errorf("the leaving backend ran %d requests, the other %d; want 1 and 20", runs[0].Load(), runs[1].Load())
	}
	close(release)
	if a := receive(r, first); string(a.body) != "finished" {
		t.Errorf("the running request got %d %q, want body \"finished\"", a.StatusCode, a.body)
	}
}

// TestLeavingNotObserved checks that a leaving backend runs no new request from a sidecar that cannot
// know of the departure. That sidecar is partitioned from the control plane and still selects the
// backend. The sidecar on the backend's own machine must refuse those requests.
func TestLeavingNotObserved(t *testing.T) {
	t.Parallel()
	size := smallFleet()
	size.Machines, size.Backends = 2, nil
	f, ctx := newFleet(t, size)
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	b, err := f.StartBackend(1, "surveys", "leaving", 8000)
	must(t, err)
	must(t, f.AwaitServing(ctx, f.FirstRevision, 1))
	survey := f.Size.Plans[2]
	c := f.NewClient(0, 1)
	if a := c.SendOne(ctx, survey); a.Status != 200 {
		t.Fatalf("before the backend left: got %+v, want status 200", a)
	}
	f.Network.PartitionBetween([]string{f.Sidecars[0].IP}, f.ReplicaIPs())
	must(t, b.Leave(ctx))
	leaveTime := time.Now()
	for time.Since(leaveTime) < 3*time.Second {
		if a := c.SendOne(ctx, survey); a.Status != 503 || a.Outcome != ledger.OutcomeNotRun {
			t.Fatalf("%v after the backend left: got %+v, want 503 not-run", time.Since(leaveTime), a)
		}
	}
	checkLedger(t, f)
}

// TestEvacuatedZone checks the evacuation and the restore of a zone under load. The zone must run no
// further request once all sidecars have the evacuation in force. Its backend must run requests again
// after the restore. Every request must succeed.
func TestEvacuatedZone(t *testing.T) {
	f, ctx := startFleet(t, smallFleet())
	stop := startLoad(ctx, f)
	// The backend of sidecar-3 is the only backend of the orders service in the zone west.
	before := f.Backends[3].Runs.Load()
	r, err := f.EvacuateZone(ctx, f.Replicas[1], "west")
	must(t, err)
	if r.Revision != 2 {
		t.Fatalf("evacuation: got %+v, want revision 2", r)
	}
	must(t, f.AwaitServing(ctx, 2, 4))
	runsInForce := f.Backends[3].Runs.Load()
	otherBefore := f.Backends[0].Runs.Load()
	must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, otherBefore+50))
	must(t, awaitCondition(ctx, func(ctx context.Context) bool {
		var d watch.DrainStatus
		_, err := f.Replicas[1].Get(ctx, "/v1/localities/west", &d)
		return err == nil && d.Evacuated && d.Done && d.DoneFor != "" && d.OpenRequests == 0
	}))
	if now := f.Backends[3].Runs.Load(); now > runsInForce {
		t.Errorf("the evacuated zone ran %d requests after all sidecars had the evacuation in force (%d before), want 0", now-runsInForce, runsInForce-before)
	}
	_, err = f.RestoreZone(ctx, f.Replicas[2], "west")
	must(t, err)
	must(t, awaitRuns(ctx, f.Backends[3].Runs.Load, runsInForce+5))
	stop()
	checkLedger(t, f)
	if v := f.Ledger.Judge(); v.Succeeded != v.Sent {
		t.Errorf("of %d requests sent only %d succeeded, want all", v.Sent, v.Succeeded)
	}
}

// TestDrain checks the shutdown of an outbound and of an inbound sidecar. After SIGTERM a sidecar must
// report at once that it is not ready, and must refuse new requests. It must finish the requests that
// it accepted and exit with code 0.
func TestDrain(t *testing.T) {
	r := newRig(t)
	running, release := make(chan struct{}, 9), make(chan struct{})
	r.backend(1, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		running <- struct{}{}
		<-release
		io.WriteString(w, "done")
	}))
	open := make(chan answer, 1)
	go func() { open <- r.send("POST", "/once/", "x") }()
	receive(r, running)
	code := make(chan int, 2)
	for i := range 2 {
		go func() { code <- r.Sidecars[i].Stop() }()
	}
	must(t, awaitUnready(r, 0))
	must(t, awaitUnready(r, 1))
	r.expect(r.send("POST", "/once/", "x"), 503, ledger.OutcomeNotRun)
	close(release)
	if a := receive(r, open); a.StatusCode != 200 || string(a.body) != "done" {
		t.Errorf("the accepted request got %d %q, want 200 \"done\"", a.StatusCode, a.body)
	}
	for range 2 {
		if c := receive(r, code); c != 0 {
			t.Errorf("a sidecar exited with code %d, want 0", c)
		}
	}
}
