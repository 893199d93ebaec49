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

// load has clients on all machines send until the test says stop.
func load(ctx context.Context, f *fleet.Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { f.Load(ctx, f.Callers()...) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// Right after each acknowledgement the core that gave it is killed and loses its
// disk, and another is killed; what is read back is what was acknowledged, or newer.
func TestAckedThenLost(t *testing.T) {
	t.Parallel()
	f, ctx := start(t, coresOnly(3))
	for round := range 4 {
		i := round % 3
		lost, other := f.Cores[i], f.Cores[(i+1)%3]
		body := configuration(100 + round)
		var stamp uint64
		must(t, fleet.Await(ctx, "a write", func(ctx context.Context) bool {
			r, err := f.Operate(ctx, lost, "PUT", "/v1/desired", body)
			stamp = r.Stamp
			return err == nil && r.Status == 200
		}))
		f.Kill(lost, other)
		must(t, os.RemoveAll(filepath.Join(f.Dir, fmt.Sprintf("core-%d", i+1))))
		must(t, f.Revive(other, lost))
		for _, p := range f.Cores {
			must(t, p.Ready(ctx))
		}
		for _, p := range f.Cores {
			var r fleet.Reply
			must(t, fleet.Await(ctx, "the reading back", func(ctx context.Context) bool {
				var err error
				r, err = f.Operate(ctx, p, "GET", "/v1/desired", nil)
				return err == nil && r.Status == 200
			}))
			if r.Stamp < stamp || !bytes.Equal(r.Body, body) {
				t.Errorf("round %d: %s reads back stamp %d %q; %d %q was acknowledged", round, p.Name, r.Stamp, r.Body, stamp, body)
			}
		}
	}
}

// A zone loses power, with the core on duty, sidecars and backends in it: from
// all other machines every kind of request and the operator's word are served within
// 15 s, and so from all once it has come back.
func TestZoneLost(t *testing.T) {
	t.Parallel()
	size := small()
	size.Machines, size.Backends = 8, fleet.Repeat(8, "orders", "stock", "surveys", "orders")
	f, ctx := start(t, size)
	stop := load(ctx, f)
	must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, 5))
	dead, gone := f.Blackout("north")
	returns := func(machines ...int) {
		t.Helper()
		begin := time.Now()
		for _, i := range machines {
			must(t, serves(ctx, f, i))
		}
		must(t, fleet.Await(ctx, "a write", func(ctx context.Context) bool {
			r, err := f.Operate(ctx, f.Cores[2], "PUT", "/v1/desired", f.Configuration())
			return err == nil && r.Status == 200
		}))
		if took := time.Since(begin); took > 15*time.Second {
			t.Errorf("back only after %v", took)
		} else {
			t.Logf("back after %v", took.Round(time.Millisecond))
		}
	}
	returns(1, 2, 3, 5, 6, 7)
	must(t, f.Revive(dead...))
	for i, b := range gone {
		_, err := f.StartBackend(4*i, b.Service, b.Instance+"-again", 8100)
		must(t, err)
	}
	returns(0, 1, 2, 3, 4, 5, 6, 7)
	stop()
	judge(t, f)
}

// One backend after the other is replaced under load, the new one cold: nothing is
// dropped, and none gets more than it can bear.
func TestReplacedOneByOne(t *testing.T) {
	t.Parallel()
	f, ctx := start(t, small())
	stop := load(ctx, f)
	for i, old := range f.Backends[:4] {
		b, err := f.StartBackendOn(fmt.Sprintf("%s:%d", f.Site.IP(i), 8200), i, old.Service, old.Instance+"-new", 0.4)
		must(t, err)
		must(t, awaitRuns(ctx, b.Runs.Load, 3))
		must(t, old.Leave(ctx))
		// What was written to it before it left may not have been read yet.
		must(t, fleet.Await(ctx, "the old one to be idle", func(ctx context.Context) bool {
			type entry struct {
				Instance string
				Open     int64
			}
			var page []entry
			_, err := f.Sidecars[i].Get(ctx, "/v1/backends", &page)
			return err == nil && old.Open() == 0 && slices.Contains(page, entry{old.Instance, 0})
		}))
		left := old.Runs.Load()
		must(t, awaitRuns(ctx, b.Runs.Load, b.Runs.Load()+5))
		if n := old.Runs.Load() - left; n > 0 {
			t.Errorf("%s ran %d more after it had left", old.Instance, n)
		}
		old.Kill()
	}
	stop()
	for _, b := range f.Backends[4:] {
		if bear := 0.4 * float64(b.Capacity); float64(b.Peak.Load()) > 1.5*bear {
			t.Errorf("%s ran %d at a time and can bear %.1f", b.Instance, b.Peak.Load(), bear)
		}
	}
	if v := judge(t, f); v.Cut > 0 || v.Lost > 0 {
		t.Errorf("%d were dropped and %d lost", v.Cut, v.Lost)
	}
}

// Under load a fifth of all answers is lost or garbled after the run: nothing is
// run again that must not, no garbled answer is passed on, and extra attempts keep to
// their bound.
func TestGarbledUnderLoad(t *testing.T) {
	t.Parallel()
	f, ctx := start(t, small())
	for _, b := range f.Backends {
		b.Garble.Store(20)
	}
	stop := load(ctx, f)
	for _, b := range f.Backends {
		must(t, awaitRuns(ctx, b.Runs.Load, 40))
	}
	stop()
	if v := judge(t, f); v.Unknown == 0 {
		t.Error("no answer was lost")
	}
}

// A backend's machine is frozen with requests in it, and woken: those come to an
// end, the others are served elsewhere meanwhile, and nothing runs twice or after it
// was promised not to.
func TestFrozenWithRequests(t *testing.T) {
	t.Parallel()
	f, ctx := start(t, small())
	stop := load(ctx, f)
	for range 2 {
		must(t, fleet.Await(ctx, "inquiries at the backend", func(context.Context) bool { return f.Backends[3].Open() > 0 }))
		f.Sidecars[3].Signal(syscall.SIGSTOP)
		frozen := time.Now()
		must(t, serves(ctx, f, 0))
		must(t, fleet.Await(ctx, "4 s to pass", func(context.Context) bool { return time.Since(frozen) > 4*time.Second }))
		f.Sidecars[3].Signal(syscall.SIGCONT)
		must(t, awaitRuns(ctx, f.Backends[3].Runs.Load, f.Backends[3].Runs.Load()+5))
		must(t, serves(ctx, f, 3))
	}
	stop()
	judge(t, f)
}

// In a zone whose backends have become thirty times slower, contracts that would
// be late go elsewhere, and what was learned can be read.
func TestSlowZone(t *testing.T) {
	t.Parallel()
	size := small()
	size.Slow = map[string]float64{"west": 30}
	f, ctx := start(t, size)
	stop := load(ctx, f)
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
	judge(t, f)
}
