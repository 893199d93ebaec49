package e2e

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
)

// startLoad runs the clients of all machines until stop is called.
func startLoad(ctx context.Context, f *fleet.Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { f.RunClients(ctx, f.Clients()...) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// TestAcknowledgedThenDiskLost checks that an acknowledged write survives the loss of a disk. Right
// after each acknowledgement, the replica that gave it is killed and loses its disk, and another
// replica is killed too. A read must then return the acknowledged configuration.
func TestAcknowledgedThenDiskLost(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, controlPlaneOnly(3))
	for round := range 4 {
		i := round % 3
		lost, other := f.Replicas[i], f.Replicas[(i+1)%3]
		body := configuration(100 + round)
		var revision uint64
		must(t, fleet.Await(ctx, "a write to be acknowledged", func(ctx context.Context) bool {
			r, err := f.Operate(ctx, lost, "PUT", configurationPath, body)
			revision = r.Revision
			return err == nil && r.Status == 200
		}))
		f.Kill(lost, other)
		must(t, os.RemoveAll(filepath.Join(f.Dir, fmt.Sprintf("replica-%d", i+1))))
		must(t, f.Restart(other, lost))
		for _, p := range f.Replicas {
			must(t, p.AwaitReady(ctx))
		}
		for _, p := range f.Replicas {
			var r fleet.Reply
			must(t, fleet.Await(ctx, "the configuration to be read back", func(ctx context.Context) bool {
				var err error
				r, err = f.Operate(ctx, p, "GET", configurationPath, nil)
				return err == nil && r.Status == 200
			}))
			if r.Revision < revision || !bytes.Equal(r.Body, body) {
				t.Errorf("round %d: %s returned revision %d %q, want the acknowledged revision %d %q", round, p.Name, r.Revision, r.Body, revision, body)
			}
		}
	}
}

// TestZoneLost checks recovery from the power loss of a zone with the coordinator, sidecars and
// backends in it. Within 15 s a request of each plan must succeed from all other machines, and an
// operator's write must be acknowledged. The same must hold for all machines once the zone is back.
func TestZoneLost(t *testing.T) {
	t.Parallel()
	size := smallFleet()
	size.Machines, size.Backends = 8, fleet.RepeatServices(8, "orders", "stock", "surveys", "orders")
	f, ctx := startFleet(t, size)
	stop := startLoad(ctx, f)
	must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, 5))
	programs, backends := f.PowerOffZone("north")
	expectRecovery := func(machines ...int) {
		t.Helper()
		begin := time.Now()
		for _, i := range machines {
			must(t, awaitServed(ctx, f, i))
		}
		must(t, fleet.Await(ctx, "a write to be acknowledged", func(ctx context.Context) bool {
			r, err := f.Operate(ctx, f.Replicas[2], "PUT", configurationPath, f.Configuration())
			return err == nil && r.Status == 200
		}))
		if took := time.Since(begin); took > 15*time.Second {
			t.Errorf("service recovered after %v, want at most 15s", took)
		} else {
			t.Logf("service recovered after %v", took.Round(time.Millisecond))
		}
	}
	expectRecovery(1, 2, 3, 5, 6, 7)
	must(t, f.Restart(programs...))
	for i, b := range backends {
		_, err := f.StartBackend(4*i, b.Service, b.Instance+"-again", 8100)
		must(t, err)
	}
	expectRecovery(0, 1, 2, 3, 4, 5, 6, 7)
	stop()
	checkLedger(t, f)
}

// TestReplacedOneByOne checks that backends can be replaced one after another under load. Each
// replacement starts cold. No request may be dropped, and no backend may get more requests than it can
// handle.
func TestReplacedOneByOne(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	stop := startLoad(ctx, f)
	for i, replaced := range f.Backends[:4] {
		b, err := f.StartBackendOn(fmt.Sprintf("%s:%d", f.Site.IP(i), 8200), i, replaced.Service, replaced.Instance+"-new", 0.4)
		must(t, err)
		must(t, awaitRuns(ctx, b.Runs.Load, 3))
		must(t, replaced.Leave(ctx))
		// The backend may not yet have read a request that was written before it left.
		must(t, fleet.Await(ctx, "the replaced backend to be idle", func(ctx context.Context) bool {
			type entry struct {
				Instance string
				Open     int64
			}
			var page []entry
			_, err := f.Sidecars[i].Get(ctx, "/v1/backends", &page)
			return err == nil && replaced.Open() == 0 && slices.Contains(page, entry{replaced.Instance, 0})
		}))
		runsAtLeaving := replaced.Runs.Load()
		must(t, awaitRuns(ctx, b.Runs.Load, b.Runs.Load()+5))
		if n := replaced.Runs.Load() - runsAtLeaving; n > 0 {
			t.Errorf("%s ran %d requests after it had left, want 0", replaced.Instance, n)
		}
		replaced.Kill()
	}
	stop()
	for _, b := range f.Backends[4:] {
		if capacity := 0.4 * float64(b.Capacity); float64(b.Peak.Load()) > 1.5*capacity {
			t.Errorf("%s ran %d requests at a time, want at most 1.5 times its cold capacity of %.1f", b.Instance, b.Peak.Load(), capacity)
		}
	}
	if v := checkLedger(t, f); v.Interrupted > 0 || v.UnknownBeforeDeadline > 0 {
		t.Errorf("%d requests were interrupted, and %d had an unknown outcome before the deadline; want 0", v.Interrupted, v.UnknownBeforeDeadline)
	}
}

// TestGarbledUnderLoad checks that lost and malformed answers do not cause wrong results. Under load a
// fifth of all answers are lost or malformed after the run. A request that must run once must not run
// again, no malformed answer may reach a client, and retries must stay within their limit.
func TestGarbledUnderLoad(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	for _, b := range f.Backends {
		b.GarblePercent.Store(20)
	}
	stop := startLoad(ctx, f)
	for _, b := range f.Backends {
		must(t, awaitRuns(ctx, b.Runs.Load, 40))
	}
	stop()
	if v := checkLedger(t, f); v.Unknown == 0 {
		t.Error("no request had an unknown outcome: the backends lost no answers")
	}
}

// TestFrozenWithRequests checks that a frozen sidecar of a backend does not violate the outcomes that
// clients were told. The sidecar is frozen with open requests and later resumes. The open requests
// must end, and other backends must serve further requests meanwhile. No request may run twice, or run
// after its client was told that it was not run.
func TestFrozenWithRequests(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	stop := startLoad(ctx, f)
	for range 2 {
		must(t, fleet.Await(ctx, "the backend to have open requests", func(context.Context) bool { return f.Backends[3].Open() > 0 }))
		f.Sidecars[3].Signal(syscall.SIGSTOP)
		frozen := time.Now()
		must(t, awaitServed(ctx, f, 0))
		awaitElapsed(ctx, t, frozen, 4*time.Second)
		f.Sidecars[3].Signal(syscall.SIGCONT)
		must(t, awaitRuns(ctx, f.Backends[3].Runs.Load, f.Backends[3].Runs.Load()+5))
		must(t, awaitServed(ctx, f, 3))
	}
	stop()
	checkLedger(t, f)
}

// TestSlowZone checks that requests avoid a zone whose backends have become thirty times slower.
// Requests that would be late there must go to other zones. The learned latencies must be readable.
func TestSlowZone(t *testing.T) {
	t.Parallel()
	size := smallFleet()
	size.SlowFactor = map[string]float64{"west": 30}
	f, ctx := startFleet(t, size)
	stop := startLoad(ctx, f)
	must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, 150))
	stop()
	fastRuns, slowRuns := f.Backends[0].Runs.Load(), f.Backends[3].Runs.Load()
	t.Logf("the fast backend ran %d requests, the slow one %d", fastRuns, slowRuns)
	if slowRuns*2 > fastRuns || slowRuns == 0 {
		t.Errorf("the fast backend ran %d requests, the slow one %d; want at least 1 and at most half as many at the slow one", fastRuns, slowRuns)
	}
	var costs []struct {
		Route          string `json:"way"`
		Instance, Half string
		Weight         float64
	}
	_, err := f.Sidecars[3].Get(ctx, "/v1/costs", &costs)
	must(t, err)
	medians := map[string]time.Duration{}
	for _, p := range costs {
		if p.Route == "order-place" && p.Instance != "" {
			medians[p.Instance], _ = time.ParseDuration(p.Half)
		}
	}
	if medians["orders-3"] < 2*medians["orders-0"] || medians["orders-0"] == 0 {
		t.Errorf("learned medians %v: want that of orders-3 at least twice that of orders-0", medians)
	}
	checkLedger(t, f)
}
