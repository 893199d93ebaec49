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

// startLoad has clients on all machines send until stop is called.
func startLoad(ctx context.Context, f *fleet.Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { f.RunClients(ctx, f.Clients()...) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// Right after each acknowledgement the replica that gave it is killed and loses its disk, and another one
// is killed; what is read back is what was acknowledged.
func TestAcknowledgedThenDiskLost(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, controlPlaneOnly(3))
	for round := range 4 {
		i := round % 3
		lost, other := f.Replicas[i], f.Replicas[(i+1)%3]
		body := configuration(100 + round)
		var revision uint64
		must(t, fleet.Await(ctx, "a write", func(ctx context.Context) bool {
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
				t.Errorf("round %d: %s reads back revision %d %q; %d %q was acknowledged", round, p.Name, r.Revision, r.Body, revision, body)
			}
		}
	}
}

// A zone loses power, with the coordinator, sidecars and backends in it: from all other machines every
// kind of request and an operator's write succeed within 15 s, and from all once it has come back.
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
		must(t, fleet.Await(ctx, "a write", func(ctx context.Context) bool {
			r, err := f.Operate(ctx, f.Replicas[2], "PUT", configurationPath, f.Configuration())
			return err == nil && r.Status == 200
		}))
		if took := time.Since(begin); took > 15*time.Second {
			t.Errorf("back only after %v", took)
		} else {
			t.Logf("back after %v", took.Round(time.Millisecond))
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

// One backend after the other is replaced under load by a cold one: nothing is dropped, and none gets more
// than it can bear.
func TestReplacedOneByOne(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	stop := startLoad(ctx, f)
	for i, old := range f.Backends[:4] {
		b, err := f.StartBackendOn(fmt.Sprintf("%s:%d", f.Site.IP(i), 8200), i, old.Service, old.Instance+"-new", 0.4)
		must(t, err)
		must(t, awaitRuns(ctx, b.Runs.Load, 3))
		must(t, old.Leave(ctx))
		// It may not have read yet what was written to it before it left.
		must(t, fleet.Await(ctx, "the old one to be idle", func(ctx context.Context) bool {
			type entry struct {
				Instance string
				Open     int64
			}
			var page []entry
			_, err := f.Sidecars[i].Get(ctx, "/v1/backends", &page)
			return err == nil && old.Open() == 0 && slices.Contains(page, entry{old.Instance, 0})
		}))
		runsAtLeaving := old.Runs.Load()
		must(t, awaitRuns(ctx, b.Runs.Load, b.Runs.Load()+5))
		if n := old.Runs.Load() - runsAtLeaving; n > 0 {
			t.Errorf("%s ran %d more after it had left", old.Instance, n)
		}
		old.Kill()
	}
	stop()
	for _, b := range f.Backends[4:] {
		if capacity := 0.4 * float64(b.Capacity); float64(b.Peak.Load()) > 1.5*capacity {
			t.Errorf("%s ran %d at a time and can bear %.1f", b.Instance, b.Peak.Load(), capacity)
		}
	}
	if v := checkLedger(t, f); v.Interrupted > 0 || v.LostEarly > 0 {
		t.Errorf("%d were dropped and %d lost", v.Interrupted, v.LostEarly)
	}
}

// Under load a fifth of all answers is lost or malformed after the run: nothing runs again that must not,
// no malformed answer is passed on, and retries stay within their bound.
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
		t.Error("no answer was lost")
	}
}

// A backend's sidecar is frozen with requests in it, and woken: those end, the others are served elsewhere
// meanwhile, and nothing runs twice or after it was promised not to.
func TestFrozenWithRequests(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	stop := startLoad(ctx, f)
	for range 2 {
		must(t, fleet.Await(ctx, "requests at the backend", func(context.Context) bool { return f.Backends[3].Open() > 0 }))
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

// In a zone whose backends have become thirty times slower, requests that would be late go elsewhere, and
// the learned latencies can be read.
func TestSlowZone(t *testing.T) {
	t.Parallel()
	size := smallFleet()
	size.SlowFactor = map[string]float64{"west": 30}
	f, ctx := startFleet(t, size)
	stop := startLoad(ctx, f)
	must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, 150))
	stop()
	quick, slow := f.Backends[0].Runs.Load(), f.Backends[3].Runs.Load()
	t.Logf("the quick backend ran %d, the slow one %d", quick, slow)
	if slow*2 > quick || slow == 0 {
		t.Errorf("the quick backend ran %d, the slow one %d", quick, slow)
	}
	var pages []struct {
		Route          string `json:"way"`
		Instance, Half string
		Weight         float64
	}
	_, err := f.Sidecars[3].Get(ctx, "/v1/costs", &pages)
	must(t, err)
	half := map[string]time.Duration{}
	for _, p := range pages {
		if p.Route == "order-place" && p.Instance != "" {
			half[p.Instance], _ = time.ParseDuration(p.Half)
		}
	}
	if half["orders-3"] < 2*half["orders-0"] || half["orders-0"] == 0 {
		t.Errorf("learned: %v", half)
	}
	checkLedger(t, f)
}
