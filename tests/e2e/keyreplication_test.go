package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// keyedFleet is a fleet with one backend, of orders, on the last machine; clients send to machine 0 with
// idempotency keys.
type keyedFleet struct {
	*fleet.Fleet
	t    *testing.T
	ctx  context.Context
	runs atomic.Int64
	// running gets each run, which then waits for release.
	running, release chan struct{}
}

// newKeyedFleet starts such a fleet.
func newKeyedFleet(t *testing.T, machines int) *keyedFleet {
	t.Helper()
	size := smallFleet()
	size.Machines, size.Backends = machines, nil
	f, ctx := newFleet(t, size)
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	keyed := &keyedFleet{Fleet: f, t: t, ctx: ctx, running: make(chan struct{}, 9), release: make(chan struct{})}
	b := &fakes.Backend{
		Instance: "one", Service: "orders", Zone: f.Zone(machines - 1), Capacity: 9, Control: f.Sidecars[machines-1].Control,
		Ledger: f.Ledger, HTTP: f.HTTP, Handle: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			io.Copy(io.Discard, q.Body)
			n := keyed.runs.Add(1)
			keyed.running <- struct{}{}
			<-keyed.release
			fmt.Fprintf(w, "run %d", n)
		}),
	}
	must(t, b.Start(f.Site.IP(machines-1)+":8000"))
	f.Backends = append(f.Backends, b)
	must(t, f.AwaitServing(ctx, 1, 1))
	for _, p := range f.Sidecars {
		must(t, p.AwaitReady(ctx))
	}
	return keyed
}

// sendKeyed sends an order under a key; a broken connection is status 0.
func (k *keyedFleet) sendKeyed(key, body string) (status int, text string) {
	req, err := http.NewRequestWithContext(k.ctx, "POST", "http://"+k.RequestAddress(0)+"/orders/1", bytes.NewReader([]byte(body)))
	must(k.t, err)
	req.Header.Set("Idempotency-Key", key)
	resp, err := k.HTTP.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// restartClientSidecar kills the client's sidecar, together with others, and starts it again.
func (k *keyedFleet) restartClientSidecar(others ...*fleet.Program) {
	k.Kill(others...)
	k.Kill(k.Sidecars[0])
	must(k.t, k.Restart(k.Sidecars[0]))
	must(k.t, k.Sidecars[0].AwaitReady(k.ctx))
}

// A key survives its sidecar. If that is killed after the run and before the answer, alone or together
// with any one other node, the repeat does not run again; after the answer, the repeat gets that answer.
func TestKeySurvivesItsSidecar(t *testing.T) {
	for _, test := range []struct {
		name string
		// also is the index of a node that dies together with the client's sidecar; none if 0.
		also     int
		answered bool // before it dies
	}{
		{"before the answer", 0, false},
		{"with one other", 1, false},
		{"with another", 2, false},
		{"after the answer", 0, true},
		{"after, with one other", 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			k := newKeyedFleet(t, 4)
			first := k.sendInBackground("a", "x")
			k.awaitRun(first)
			want := ""
			if test.answered {
				k.release <- struct{}{}
				want = <-first
				// The replicas get the response after the client.
				must(t, k.awaitReplicated(2, 2))
			}
			var others []*fleet.Program
			if test.also > 0 {
				others = k.Sidecars[test.also : test.also+1]
			}
			k.restartClientSidecar(others...)
			status, text := k.sendKeyed("a", "x")
			if test.answered && (status != 200 || text != want) || !test.answered && status != 502 {
				t.Errorf("the repeat got %d %q, the first %q", status, text, want)
			}
			if status, _ := k.sendKeyed("a", "another"); status != 422 {
				t.Errorf("another request under the key got %d", status)
			}
			if n := k.runs.Load(); n != 1 {
				t.Errorf("it ran %d times", n)
			}
			close(k.release)
		})
	}
}

// sendInBackground sends an order under a key, again while its replicas are too slow for it to run.
// The channel gets the text of the answer.
func (k *keyedFleet) sendInBackground(key, body string) <-chan string {
	answer := make(chan string, 1)
	go func() {
		status, text := k.sendKeyed(key, body)
		for status == 503 && k.ctx.Err() == nil && k.runs.Load() == 0 {
			status, text = k.sendKeyed(key, body)
		}
		answer <- text
	}()
	return answer
}

// awaitRun waits until an order runs, which must be before its answer.
func (k *keyedFleet) awaitRun(answer <-chan string) {
	k.t.Helper()
	select {
	case <-k.running:
	case text := <-answer:
		k.t.Fatalf("answered without a run: %s", text)
	case <-k.ctx.Done():
		k.t.Fatal("it was never run")
	}
}

// awaitReplicated waits until the other nodes hold so many records, and so many of them with responses.
func (k *keyedFleet) awaitReplicated(records, responses int) error {
	return fleet.Await(k.ctx, "the key's replicas", func(ctx context.Context) bool {
		stored, completed := 0, 0
		for _, p := range k.Sidecars[1:] {
			var st struct {
				Stored    int `json:"claims_held"`
				Completed int `json:"claims_settled"`
			}
			if _, err := p.Get(ctx, "/v1/stats", &st); err != nil {
				return false
			}
			stored, completed = stored+st.Stored, completed+st.Completed
		}
		return stored == records && completed == responses
	})
}

// All sidecars are killed and started again one after another, and with them all replicas of a key and
// its owner: it survives them, since what a replica has lost is replicated anew.
func TestKeySurvivesRollingKills(t *testing.T) {
	t.Parallel()
	k := newKeyedFleet(t, 4)
	close(k.release)
	status, first := k.sendKeyed("a", "x")
	if status != 200 {
		t.Fatalf("the first got %d %s", status, first)
	}
	must(t, k.awaitReplicated(2, 2))
	for _, i := range []int{3, 2, 1, 0, 1, 2, 3} {
		k.Kill(k.Sidecars[i])
		must(t, k.Restart(k.Sidecars[i]))
		must(t, k.Sidecars[i].AwaitReady(k.ctx))
	}
	if status, text := k.sendKeyed("a", "x"); status != 200 || text != first || k.runs.Load() != 1 {
		t.Errorf("the repeat got %d %q, the first %q; it ran %d times", status, text, first, k.runs.Load())
	}
}

// A request that surely did not run releases its key at the replicas too; a replica that does not answer
// is replaced by another one, and where there is none, nothing is run.
func TestKeyReplicaSelection(t *testing.T) {
	t.Parallel()
	k := newKeyedFleet(t, 4)
	close(k.release)
	must(t, k.Backends[0].Leave(k.ctx))
	if status, text := k.sendKeyed("a", "x"); status != 503 {
		t.Errorf("without a backend: %d %s", status, text)
	}
	k.Backends[0].Kill()
	must(t, k.awaitReplicated(0, 0)) // released there too, before the sidecar dies
	k.restartClientSidecar()
	b, err := k.StartBackend(3, "orders", "two", 8001)
	must(t, err)
	must(t, awaitCondition(k.ctx, func(context.Context) bool { status, _ := k.sendKeyed("a", "x"); return status == 418 || status == 200 }))
	if b.Runs.Load() != 1 {
		t.Errorf("what had not run was run %d times afterwards", b.Runs.Load())
	}
	// Partitioned from the owner only, a replica stays in view.
	k.Network.PartitionBetween([]string{k.Sidecars[0].IP}, []string{k.Sidecars[1].IP})
	for i := range 5 {
		if status, text := k.sendKeyed(fmt.Sprint("b", i), "x"); status != 418 && status != 200 {
			t.Errorf("with a replica that does not answer: %d %s", status, text)
		}
	}
	before := b.Runs.Load()
	k.Network.PartitionBetween([]string{k.Sidecars[0].IP}, []string{k.Sidecars[1].IP, k.Sidecars[2].IP})
	if status, text := k.sendKeyed("c", "x"); status != 503 {
		t.Errorf("with too few replicas: %d %s", status, text)
	}
	if n := b.Runs.Load(); n != before {
		t.Errorf("%d ran whose key was not replicated", n-before)
	}
	k.Network.Heal()
	must(t, awaitCondition(k.ctx, func(context.Context) bool { status, _ := k.sendKeyed("c", "x"); return status == 418 || status == 200 }))
}

// Sidecars are killed one after another under load from clients that repeat at once, under the same key,
// whatever was not answered: each order runs once.
func TestKeyedThroughKills(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var callers []*fakes.Client
	for _, c := range f.Clients() {
		c.Keyed, c.Rate = true, 30
		callers = append(callers, c)
	}
	wg.Go(func() { f.RunClients(load, callers...) })
	for range 3 {
		for i, p := range f.Sidecars {
			must(t, awaitRuns(ctx, f.Backends[i].Runs.Load, f.Backends[i].Runs.Load()+3))
			f.Kill(p)
			must(t, f.Restart(p))
			must(t, p.AwaitReady(ctx))
			must(t, f.AwaitServing(ctx, 1, len(f.Size.Backends)))
		}
	}
	stop()
	wg.Wait()
	var repeats int64
	for _, c := range callers {
		repeats += c.Repeats.Load()
	}
	t.Logf("%d repeats under a key", repeats)
	if repeats == 0 {
		t.Error("nothing was repeated")
	}
	checkLedger(t, f)
}
