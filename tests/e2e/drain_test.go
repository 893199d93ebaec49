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

// While an evacuated zone still runs something, the report says so.
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
	shows := func(want func(d watch.DrainStatus) bool) {
		t.Helper()
		must(t, awaitCondition(r.ctx, func(ctx context.Context) bool {
			var d watch.DrainStatus
			_, err := r.Replicas[0].Get(ctx, "/v1/localities/south", &d)
			return err == nil && d.Revision == reply.Revision && len(d.LaggingNodes) == 0 && want(d)
		}))
	}
	shows(func(d watch.DrainStatus) bool { return d.OpenRequests == 1 && !d.Done && d.DoneFor == "" })
	close(release)
	if a := receive(r, first); a.StatusCode != 200 {
		t.Errorf("what ran there got %d", a.StatusCode)
	}
	shows(func(d watch.DrainStatus) bool { return d.OpenRequests == 0 && d.Done && d.DoneFor != "" })
}

// A client that writes on an idle connection just as its sidecar closes it still gets an answer:
// that the request was not run.
func TestConnectionCloseAnnounced(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	var runs atomic.Int64
	r.backend(1, http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) { runs.Add(1) }))
	c, err := net.Dial("tcp", r.RequestAddress(0))
	must(t, err)
	defer c.Close()
	in := bufio.NewReader(c)
	order := "POST /once/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
	io.WriteString(c, order)
	resp, err := http.ReadResponse(in, nil)
	must(t, err)
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != 200 {
		t.Fatalf("got %d", resp.StatusCode)
	}
	stopped := make(chan int, 1)
	go func() { stopped <- r.Sidecars[0].Stop() }()
	must(t, awaitUnready(r, 0))
	must(t, fleet.Await(r.ctx, "the connection's close to be announced", func(context.Context) bool {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := in.Peek(1)
		return err == nil
	}))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, order)
	resp, err = http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if resp.StatusCode != 408 || resp.Header.Get(outcomeHeader) != "not-run" || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("got %d %v", resp.StatusCode, resp.Header)
	}
	if code := receive(r, stopped); code != 0 || runs.Load() != 1 {
		t.Errorf("it ended with %d, %d runs", code, runs.Load())
	}
}

// A leaving backend gets nothing new once its sidecar knows; what it is running finishes, and the
// other backend takes over.
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
			t.Errorf("got %d %s", a.StatusCode, a.body)
		}
	}
	if runs[0].Load() != 1 || runs[1].Load() != 20 {
		t.Errorf("the leaving one ran %d, the other %d", runs[0].Load(), runs[1].Load())
	}
	close(release)
	if a := receive(r, first); string(a.body) != "finished" {
		t.Errorf("what was running got %d %q", a.StatusCode, a.body)
	}
}

// A sidecar that is partitioned from the control plane goes on choosing a backend that is leaving;
// the sidecar beside the backend admits nothing.
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
		t.Fatalf("%+v", a)
	}
	f.Network.PartitionBetween([]string{f.Sidecars[0].IP}, f.ReplicaIPs())
	must(t, b.Leave(ctx))
	leftAt := time.Now()
	for time.Since(leftAt) < 3*time.Second {
		if a := c.SendOne(ctx, survey); a.Status != 503 || a.Outcome != ledger.OutcomeNotRun {
			t.Fatalf("%v after it left: %+v", time.Since(leftAt), a)
		}
	}
	checkLedger(t, f)
}

// A zone is evacuated and restored under load.
func TestEvacuatedZone(t *testing.T) {
	f, ctx := startFleet(t, smallFleet())
	stop := startLoad(ctx, f)
	// sidecar-3 and its backend of "orders" are the only ones of that service in the west.
	before := f.Backends[3].Runs.Load()
	r, err := f.EvacuateZone(ctx, f.Replicas[1], "west")
	must(t, err)
	if r.Revision != 2 {
		t.Fatalf("evacuation: %+v", r)
	}
	must(t, f.AwaitServing(ctx, 2, 4))
	closed := f.Backends[3].Runs.Load()
	before50 := f.Backends[0].Runs.Load()
	must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, before50+50))
	must(t, awaitCondition(ctx, func(ctx context.Context) bool {
		var d watch.DrainStatus
		_, err := f.Replicas[1].Get(ctx, "/v1/localities/west", &d)
		return err == nil && d.Evacuated && d.Done && d.DoneFor != "" && d.OpenRequests == 0
	}))
	if now := f.Backends[3].Runs.Load(); now > closed {
		t.Errorf("the evacuated zone ran %d more after every sidecar had the evacuation in force (%d before)", now-closed, closed-before)
	}
	_, err = f.RestoreZone(ctx, f.Replicas[2], "west")
	must(t, err)
	must(t, awaitRuns(ctx, f.Backends[3].Runs.Load, closed+5))
	stop()
	checkLedger(t, f)
	if v := f.Ledger.Judge(); v.Good != v.Sent {
		t.Errorf("of %d sent only %d were good", v.Sent, v.Good)
	}
}

// A sidecar that got SIGTERM is not ready at once, accepts nothing new, finishes what it accepted on
// either side, and ends with 0.
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
		t.Errorf("what was accepted got %d %q", a.StatusCode, a.body)
	}
	for range 2 {
		if c := receive(r, code); c != 0 {
			t.Errorf("ended with %d", c)
		}
	}
}
