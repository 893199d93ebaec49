package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// TestTraceTree checks that any replica returns the complete tree of a request and its nested calls. Each
// hop must have identifiers, and each span its four events in logical order. An answer must contain
// identifiers only if the client sent some.
func TestTraceTree(t *testing.T) {
	f, ctx := startFleet(t, smallFleet())
	ids := make(chan http.Header, 1)
	for i, traced := range []bool{true, false} {
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+f.RequestAddress(0)+"/orders/1", nil)
		must(t, err)
		trace := fmt.Sprintf("00000000000abc%02d", i+1)
		if traced {
			req.Header.Set("X-B3-TraceId", trace)
			req.Header.Set("X-B3-SpanId", "00000000000000ff")
		}
		req.Header.Set("X-Proof-Id", trace)
		resp, err := f.HTTP.Do(req)
		must(t, err)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if got := resp.Header.Get("X-B3-TraceId"); traced && got != trace || !traced && got != "" {
			t.Errorf("client that sends a trace identifier (%v): the answer has trace %q", traced, got)
		}
		if traced {
			ids <- resp.Header
		}
	}
	id := (<-ids).Get("X-B3-TraceId")
	for _, replica := range f.Replicas {
		var tr fleet.TraceTree
		must(t, fleet.Await(ctx, "both spans with all events", func(ctx context.Context) bool {
			tr = fleet.TraceTree{}
			_, err := replica.Get(ctx, "/v1/traces/"+id, &tr)
			return err == nil && tr.Spans == 2 && len(tr.Roots) == 1 && len(tr.Roots[0].Children) == 1 &&
				len(tr.Roots[0].Events) == 4 && len(tr.Roots[0].Children[0].Events) == 4
		}))
		checkTraceTree(t, tr)
	}
}

// checkTraceTree checks the tree of a request with one nested call. The client sent the parent span
// 00000000000000ff.
func checkTraceTree(t *testing.T, tree fleet.TraceTree) {
	t.Helper()
	root, child := tree.Roots[0], tree.Roots[0].Children[0]
	if root.Parent != "00000000000000ff" || root.Route != "order-read" || root.Caller != "" || tree.Complete {
		t.Errorf("got root %+v, complete %v; want a root of order-read in an incomplete tree, since the client's own span is missing", root, tree.Complete)
	}
	if child.Parent != root.Span || child.Route != "stock-read" || child.Caller != "orders" || child.Link != "proven" || len(child.Candidates) != 1 {
		t.Errorf("got child %+v, want a proven call of stock-read by orders", child)
	}
	checkEvents(t, root)
	checkEvents(t, child)
	// The child's events are between the events of its parent.
	if child.Events[0].Counter <= root.Events[1].Counter || child.Events[3].Counter >= root.Events[2].Counter {
		t.Errorf("child events %+v are not between those of the parent %+v", child.Events, root.Events)
	}
}

// checkEvents checks that a span has its four events, in logical order.
func checkEvents(t *testing.T, span fleet.SpanNode) {
	t.Helper()
	kinds := ""
	for i, e := range span.Events {
		kinds += e.Kind + " "
		if i > 0 && e.Counter <= span.Events[i-1].Counter {
			t.Errorf("events out of order: %+v", span.Events)
		}
	}
	if kinds != "cs sr ss cr " || len(span.Missing) > 0 {
		t.Errorf("got events %s, missing %v; want cs sr ss cr", kinds, span.Missing)
	}
}

// TestCollectorsStopped checks that requests neither fail nor wait for tracing while all collectors
// are frozen, and after they were killed. Dropped events must be counted.
func TestCollectorsStopped(t *testing.T) {
	size := smallFleet()
	f, ctx := newFleet(t, size)
	for _, p := range f.Sidecars {
		p.AddArgs("--trace-queue=16")
	}
	must(t, f.Start(ctx))
	plan := fakes.RequestPlan{Name: "stock-read", Method: "GET", Prefix: "/stock/", Service: "stock", Deadline: time.Second, Work: time.Millisecond}
	for _, outage := range []struct {
		state string
		apply func(p *fleet.Program)
	}{
		{"frozen", func(p *fleet.Program) { p.Signal(syscall.SIGSTOP) }},
		{"dead", func(p *fleet.Program) { p.Kill() }},
	} {
		for _, p := range f.Replicas {
			outage.apply(p)
		}
		c := f.NewClient(0, 1)
		c.Name += outage.state
		// The requests stay within the duration of a lease, because frozen replicas do not renew
		// leases.
		for begin, i := time.Now(), 0; i < 200 && time.Since(begin) < 1500*time.Millisecond; i++ {
			if a := c.SendOne(ctx, plan); a.Status != 200 || a.Outcome != "" {
				t.Fatalf("collectors %s: got %+v, want status 200", outage.state, a)
			}
		}
		var st struct {
			TraceQueue struct{ Taken, Dropped, Published, Failed uint64 } `json:"trace_queue"`
		}
		must(t, fleet.Await(ctx, "dropped events to be counted", func(ctx context.Context) bool {
			_, err := f.Sidecars[0].Get(ctx, "/v1/stats", &st)
			return err == nil && st.TraceQueue.Dropped+st.TraceQueue.Failed > 0
		}))
		t.Logf("collectors %s: %+v", outage.state, st.TraceQueue)
	}
	checkLedger(t, f)
}

// TestCausalLinks checks how well a backend's outgoing calls are linked to the requests that caused
// them, with one and with nine concurrent requests. No proven link may be wrong. With one request at a
// time, all links must be correct.
func TestCausalLinks(t *testing.T) {
	for _, concurrency := range []int{1, 9} {
		t.Run(fmt.Sprint(concurrency), func(t *testing.T) {
			t.Parallel()
			size := smallFleet()
			size.Machines, size.Backends = 2, []string{"orders", "stock"}
			f, ctx := startFleet(t, size)
			var open atomic.Int64
			done := make(chan struct{})
			for range concurrency {
				open.Add(1)
				c := f.NewClient(0, 1)
				c.Name = fmt.Sprintf("caller-%d", open.Load())
				c.Seed = uint64(open.Load())
				go func() {
					for range 100 / concurrency {
						c.SendOne(ctx, c.PickPlan())
					}
					done <- struct{}{}
				}()
			}
			for range concurrency {
				<-done
			}
			n, err := f.CountLinks(ctx, 1000)
			must(t, err)
			t.Logf("%d concurrent requests: %v", concurrency, n)
			if n.Calls == 0 || n.ProvenWrong > 0 || concurrency == 1 && n.Correct != n.Calls {
				t.Errorf("got links %+v, want calls without wrong proven links, and only correct links for one concurrent request", n)
			}
			checkLedger(t, f)
		})
	}
}
