package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewwalk/internal/watch"
	"curlewwalk/tests/faultproxy"
	"curlewwalk/tests/fleet"
)

// While an emptied zone still runs something, the report says so.
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

// A client that writes on an idle connection just as its sidecar ends gets an answer
// all the same: that it was not run.
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
	must(t, fleet.Await(r.ctx, "the connection to be told of the end", func(context.Context) bool {
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
	if resp.StatusCode != 408 || resp.Header.Get("Curlewwalk-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("got %d %v", resp.StatusCode, resp.Header)
	}
	if code := receive(r, stopped); code != 0 || runs.Load() != 1 {
		t.Errorf("it ended with %d, %d runs", code, runs.Load())
	}
}

// A leaving backend gets nothing new from the moment its sidecar has its word;
// what it is working on finishes. The other backend takes over.
func TestLeaving(t *testing.T) {
	r := newRig(t)
	var runs [2]atomic.Int64
	running, release := make(chan struct{}, 9), make(chan struct{})
	hold := r.backend(1, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		runs[0].Add(1)
		running <- struct{}{}
		<-release
		io.WriteString(w, "held")
	}))
	first := make(chan answer, 1)
	go func() { first <- r.send("POST", "/once/", "x") }()
	receive(r, running)
	r.backend(1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs[1].Add(1) }))
	must(t, hold.Leave(r.ctx))
	for range 20 {
		if a := r.send("POST", "/once/", "x"); a.StatusCode != 200 {
			t.Errorf("got %d %s", a.StatusCode, a.body)
		}
	}
	if runs[0].Load() != 1 || runs[1].Load() != 20 {
		t.Errorf("the leaving one ran %d, the other %d", runs[0].Load(), runs[1].Load())
	}
	close(release)
	if a := receive(r, first); string(a.body) != "held" {
		t.Errorf("what was running got %d %q", a.StatusCode, a.body)
	}
}

// A sidecar that hears no core goes on choosing a backend that is leaving: the one
// beside it lets nothing through.
func TestLeavingNotObserved(t *testing.T) {
	t.Parallel()
	size := smallFleet()
	size.Machines, size.Backends = 2, nil
	f, ctx := newFleet(t, size)
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	b, err := f.StartBackend(1, "surveys", "leaver", 8000)
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
		if a := c.SendOne(ctx, survey); a.Status != 503 || a.Outcome != "not-run" {
			t.Fatalf("%v after it left: %+v", time.Since(leftAt), a)
		}
	}
	checkLedger(t, f)
}

// An address that passed to another service: the one who had it before fell
// silent, and nothing meant for it reaches the new one.
func TestAddressReused(t *testing.T) {
	r := newRig(t)
	var misdirected atomic.Int64
	old := r.backend(1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	if a := r.send("POST", "/once/", "x"); a.StatusCode != 200 {
		t.Fatalf("got %d %s", a.StatusCode, a.body)
	}
	addr := old.Addr()
	old.Kill()
	ln, err := faultproxy.Bind(addr)
	must(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { misdirected.Add(1) })}
	defer srv.Close()
	go srv.Serve(ln)
	body := fmt.Sprintf(`{"instance": "newcomer", "service": "another", "address": %q, "capacity": 1}`, addr)
	resp, err := r.HTTP.Post("http://"+r.Sidecars[1].Control+"/v1/backends", "application/json", bytes.NewReader([]byte(body)))
	must(t, err)
	resp.Body.Close()
	for range 10 {
		r.expect(r.send("POST", "/once/", "x"), 503, "not-run")
	}
	if misdirected.Load() != 0 {
		t.Errorf("%d inquiries reached another service", misdirected.Load())
	}
}

// A silent backend is closed to new requests by its beat's age alone.
func TestSilentBackend(t *testing.T) {
	r := newRig(t)
	var runs atomic.Int64
	var last atomic.Int64
	ln, err := net.Listen("tcp", net.JoinHostPort(r.Site.IP(1), "0"))
	must(t, err)
	begin := time.Now()
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		last.Store(int64(time.Since(begin)))
	})}
	defer srv.Close()
	go srv.Serve(ln)
	body := fmt.Sprintf(`{"instance": "mute", "service": "desk", "address": %q, "capacity": 1}`, ln.Addr())
	resp, err := r.HTTP.Post("http://"+r.Sidecars[1].Control+"/v1/backends", "application/json", bytes.NewReader([]byte(body)))
	must(t, err)
	resp.Body.Close()
	announcedAt := time.Since(begin)
	must(t, r.AwaitServing(r.ctx, 1, 1))
	refused := 0
	for refused < 5 && r.ctx.Err() == nil {
		if a := r.send("GET", "/look/", ""); a.StatusCode == 503 {
			refused++
		}
	}
	if runs.Load() == 0 || time.Duration(last.Load())-announcedAt > 1600*time.Millisecond {
		t.Errorf("ran %d times, last %v after its only beat", runs.Load(), time.Duration(last.Load())-announcedAt)
	}
}

// Emptying a zone and taking it back, under load.
func TestEvacuatedZone(t *testing.T) {
	f, ctx := startFleet(t, smallFleet())
	stop := startLoad(ctx, f)
	// sidecar-3 and its backend of "orders" stand in the west; so does no other
	// backend of that service.
	before := f.Backends[3].Runs.Load()
	r, err := f.EvacuateZone(ctx, f.Replicas[1], "west")
	must(t, err)
	if r.Revision != 2 {
		t.Fatalf("emptying: %+v", r)
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
		t.Errorf("the emptied locality ran %d more after every sidecar had the word (%d before)", now-closed, closed-before)
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

// A warned sidecar is unready at once, takes nothing new, finishes what was
// handed over to it on either side, and ends with 0.
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
	r.expect(r.send("POST", "/once/", "x"), 503, "not-run")
	close(release)
	if a := receive(r, open); a.StatusCode != 200 || string(a.body) != "done" {
		t.Errorf("what was handed over got %d %q", a.StatusCode, a.body)
	}
	for range 2 {
		if c := receive(r, code); c != 0 {
			t.Errorf("ended with %d", c)
		}
	}
}

// A reload puts in force what it can and says what it can't.
func TestReload(t *testing.T) {
	r := newRig(t)
	for _, p := range []interface {
		Signal(syscall.Signal)
		Get(context.Context, string, any) (int, error)
	}{r.Sidecars[0], r.Replicas[0]} {
		p.Signal(syscall.SIGHUP)
		must(t, awaitCondition(r.ctx, func(ctx context.Context) bool {
			var got *struct {
				Applied []string `json:"applied"`
				Fault   string   `json:"fault"`
			}
			_, err := p.Get(ctx, "/v1/reload", &got)
			return err == nil && got != nil && got.Fault == "" && len(got.Applied) == 0
		}))
	}
}

// A fixed address for a service's outgoing calls is the one that its backends
// are told, and tells who calls.
func TestFixedOutgoing(t *testing.T) {
	f, ctx := newFleet(t, smallFleet())
	fixed := f.Site.IP(0) + ":7500"
	f.Sidecars[0].AddArgs("--outgoing=orders:" + fixed)
	must(t, f.Start(ctx))
	var got []struct{ Service, Outgoing string }
	_, err := f.Sidecars[0].Get(ctx, "/v1/backends", &got)
	must(t, err)
	if len(got) != 1 || got[0].Service != "orders" || got[0].Outgoing != fixed {
		t.Errorf("backends: %+v", got)
	}
	c := f.NewClient(0, 1)
	for range 5 {
		if a := c.SendOne(ctx, f.Size.Plans[0]); a.Status != 200 {
			t.Errorf("%+v", a)
		}
	}
	checkLedger(t, f)
}

// A backend that was told an address before its sidecar was killed still sends
// there: whoever announces itself first to the new one, such a call names its
// true service.
func TestOutgoingAddressSurvivesRestart(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	callers := make(chan string, 1)
	r.backend(1, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { callers <- q.Header.Get("Curlewwalk-Caller") }))
	announce := func(service string) (got struct{ Outgoing string }) {
		body := fmt.Appendf(nil, `{"instance": %q, "service": %q, "address": "%s:8700", "capacity": 1}`, service, service, r.Site.IP(0))
		resp, err := r.HTTP.Post("http://"+r.Sidecars[0].Control+"/v1/backends", "application/json", bytes.NewReader(body))
		must(t, err)
		defer resp.Body.Close()
		must(t, json.NewDecoder(resp.Body).Decode(&got))
		return got
	}
	old := announce("hotline").Outgoing
	r.Sidecars[0].Kill()
	must(t, r.Sidecars[0].Start())
	must(t, r.Sidecars[0].AwaitReady(r.ctx))
	if other := announce("surveys").Outgoing; other == old || other == "" {
		t.Errorf("surveys was told %q, hotline %q before", other, old)
	}
	announce("hotline")
	var a int
	must(t, awaitCondition(r.ctx, func(_ context.Context) bool {
		resp, err := http.Post("http://"+old+"/once/x", "text/plain", bytes.NewReader([]byte("x")))
		if err != nil {
			t.Fatalf("the address that hotline was told: %v", err)
		}
		resp.Body.Close()
		a = resp.StatusCode
		return a == 200
	}))
	if got := receive(r, callers); got != "hotline" {
		t.Errorf("a call of hotline was told to be of %q", got)
	}
}

// Why a request got its answer can be read: from its trace and from the log.
func TestRefusalReason(t *testing.T) {
	r := newRig(t)
	r.rawBackend(1, func(int, net.Conn) {})
	a := r.send("POST", "/once/", "x")
	r.expect(a, 502, "unknown")
	var own struct{ Trace string }
	must(t, json.Unmarshal(a.body, &own))
	must(t, fleet.Await(r.ctx, "the trace to tell why", func(ctx context.Context) bool {
		var tr fleet.TraceTree
		_, err := r.Replicas[0].Get(ctx, "/v1/traces/"+own.Trace, &tr)
		if err != nil || len(tr.Roots) != 1 || len(tr.Roots[0].Events) != 4 {
			return false
		}
		last := tr.Roots[0].Events[3]
		return last.Status == 502 && last.Outcome == "unknown" && last.Reason != "" && tr.Roots[0].Events[2].Reason == last.Reason
	}))
	resp, err := r.HTTP.Get("http://" + r.Sidecars[0].Control + "/v1/log")
	must(t, err)
	defer resp.Body.Close()
	log, err := io.ReadAll(resp.Body)
	must(t, err)
	if !bytes.Contains(log, []byte(own.Trace)) {
		t.Errorf("the log does not name trace %s: %s", own.Trace, log)
	}
}
