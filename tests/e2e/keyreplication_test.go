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

// keyedFleet is a fleet with one backend, of the orders service, on the last machine. Clients send
// orders with idempotency keys to machine 0.
type keyedFleet struct {
	*fleet.Fleet
	t    *testing.T
	ctx  context.Context
	runs atomic.Int64
	// running receives a value for each run, which then blocks until it receives from release.
	running, release chan struct{}
}

// newKeyedFleet starts a keyed fleet and waits until all its sidecars are ready.
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

// sendKeyed sends an order under a key. For a broken connection it returns status 0 and the error.
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

// restartClientSidecar kills the other programs and the sidecar of machine 0, restarts that sidecar,
// and waits until it is ready.
func (k *keyedFleet) restartClientSidecar(others ...*fleet.Program) {
	k.Kill(others...)
	k.Kill(k.Sidecars[0])
	must(k.t, k.Restart(k.Sidecars[0]))
	must(k.t, k.Sidecars[0].AwaitReady(k.ctx))
}

// TestKeySurvivesItsSidecar checks that a key outlives the sidecar that received the request. That
// sidecar is killed, alone or together with one other node. If it is killed after the order ran and
// before the answer, a repeat must not run the order again. If it is killed after the answer, a repeat
// must get the same answer.
func TestKeySurvivesItsSidecar(t *testing.T) {
	for _, test := range []struct {
		name string
		// otherNode is the index of a node that is killed together with the client's sidecar, or 0 for
		// none.
		otherNode int
		answered  bool // before the kill
	}{
		{"before the answer", 0, false},
		{"before the answer, with node 1", 1, false},
		{"before the answer, with node 2", 2, false},
		{"after the answer", 0, true},
		{"after the answer, with node 1", 1, true},
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
				// The replicas get the response after the client does.
				must(t, k.awaitReplicated(2, 2))
			}
			var others []*fleet.Program
			if test.otherNode > 0 {
				others = k.Sidecars[test.otherNode : test.otherNode+1]
			}
			k.restartClientSidecar(others...)
			status, text := k.sendKeyed("a", "x")
			if test.answered && (status != 200 || text != want) || !test.answered && status != 502 {
				t.Errorf("the repeat got %d %q, the first request %q; want the same answer, or 502 if the first had none", status, text, want)
			}
			if status, _ := k.sendKeyed("a", "another"); status != 422 {
				t.Errorf("another request under the same key got %d, want 422", status)
			}
			if n := k.runs.Load(); n != 1 {
				t.Errorf("the order ran %d times, want 1", n)
			}
			close(k.release)
		})
	}
}

// sendInBackground sends an order under a key. It repeats the order while the answer is 503 and the
// order has not run, since the key's replicas may be too slow at first. The channel gets the text of
// the final answer.
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

// awaitRun waits until an order runs. It fails the test if the answer comes first.
func (k *keyedFleet) awaitRun(answer <-chan string) {
	k.t.Helper()
	select {
	case <-k.running:
	case text := <-answer:
		k.t.Fatalf("the order was answered without a run: %s", text)
	case <-k.ctx.Done():
		k.t.Fatal("timed out waiting for the order to run")
	}
}

// awaitReplicated waits until the nodes other than the client's hold the given number of records, and
// the given number of those with a response.
func (k *keyedFleet) awaitReplicated(records, responses int) error {
	return fleet.Await(k.ctx, "the records at the key's replicas", func(ctx context.Context) bool {
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

// TestKeySurvivesRollingKills checks that a key survives when all sidecars are killed and restarted
// one after another. These kills also reach its owner and all its replicas, so that it survives only
// if lost copies are replicated again.
func TestKeySurvivesRollingKills(t *testing.T) {
	t.Parallel()
	k := newKeyedFleet(t, 4)
	close(k.release)
	status, first := k.sendKeyed("a", "x")
	if status != 200 {
		t.Fatalf("the first request got %d %s, want 200", status, first)
	}
	must(t, k.awaitReplicated(2, 2))
	for _, i := range []int{3, 2, 1, 0, 1, 2, 3} {
		k.Kill(k.Sidecars[i])
		must(t, k.Restart(k.Sidecars[i]))
		must(t, k.Sidecars[i].AwaitReady(k.ctx))
	}
	if status, text := k.sendKeyed("a", "x"); status != 200 || text != first || k.runs.Load() != 1 {
		t.Errorf("the repeat got %d %q, the first request %q, after %d runs; want the same answer after 1 run", status, text, first, k.runs.Load())
	}
}

// TestKeyReplicaSelection checks three cases of key replication. A request that certainly did not run
// releases its key at the replicas too. A replica that does not answer is replaced by another node.
// Without enough replicas, the request is not run.
func TestKeyReplicaSelection(t *testing.T) {
	t.Parallel()
	k := newKeyedFleet(t, 4)
	close(k.release)
	must(t, k.Backends[0].Leave(k.ctx))
	if status, text := k.sendKeyed("a", "x"); status != 503 {
		t.Errorf("without a backend: got %d %s, want 503", status, text)
	}
	k.Backends[0].Kill()
	must(t, k.awaitReplicated(0, 0)) // the replicas release the key before the sidecar is killed
	k.restartClientSidecar()
	b, err := k.StartBackend(3, "orders", "two", 8001)
	must(t, err)
	must(t, awaitCondition(k.ctx, func(context.Context) bool { status, _ := k.sendKeyed("a", "x"); return status == 418 || status == 200 }))
	if b.Runs.Load() != 1 {
		t.Errorf("the order that had not run ran %d times afterwards, want 1", b.Runs.Load())
	}
	// A node that is partitioned from the owner only stays in the membership view.
	k.Network.PartitionBetween([]string{k.Sidecars[0].IP}, []string{k.Sidecars[1].IP})
	for i := range 5 {
		if status, text := k.sendKeyed(fmt.Sprint("b", i), "x"); status != 418 && status != 200 {
			t.Errorf("with a replica that does not answer: got %d %s, want 200 or 418", status, text)
		}
	}
	before := b.Runs.Load()
	k.Network.PartitionBetween([]string{k.Sidecars[0].IP}, []string{k.Sidecars[1].IP, k.Sidecars[2].IP})
	if status, text := k.sendKeyed("c", "x"); status != 503 {
		t.Errorf("with too few replicas: got %d %s, want 503", status, text)
	}
	if n := b.Runs.Load(); n != before {
		t.Errorf("%d orders ran without a replicated key, want 0", n-before)
	}
	k.Network.Heal()
	must(t, awaitCondition(k.ctx, func(context.Context) bool { status, _ := k.sendKeyed("c", "x"); return status == 418 || status == 200 }))
}

// TestKeyedThroughKills checks that each order runs once while sidecars are killed one after another
// under load. The clients immediately repeat unanswered orders under the same key.
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
	t.Logf("%d repeats with a key", repeats)
	if repeats == 0 {
		t.Error("no order was repeated")
	}
	checkLedger(t, f)
}
