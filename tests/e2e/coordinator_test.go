package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
)

// configurationWriter has numbered configurations put to some cores in turn, one every interval,
// each again until it is acknowledged, until the test says stop.
type configurationWriter struct {
	f        *fleet.Fleet
	replicas []*fleet.Program
	interval time.Duration
	// revision is the highest stamp that was acknowledged, count how many were.
	revision, count atomic.Uint64
	mu              sync.Mutex
	slowest         time.Duration // that one took until it was acknowledged
	refused         []string      // answers for good
}

// start begins; stop waits for the end.
func (w *configurationWriter) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(w.interval)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				w.put(ctx, n)
			}
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// put puts one configuration; a second of silence from one core is a failure, and the
// next is asked.
func (w *configurationWriter) put(ctx context.Context, n int) {
	begin := time.Now()
	for try := n; ctx.Err() == nil; try++ {
		call, cancel := context.WithTimeout(ctx, time.Second)
		r, err := w.f.Operate(call, w.replicas[try%len(w.replicas)], "PUT", "/v1/desired", w.f.Configuration(), "Curlewwalk-Edition", fmt.Sprint(n))
		cancel()
		if err == nil && r.Status/100 == 4 {
			w.mu.Lock()
			w.refused = append(w.refused, fmt.Sprintf("%d %s", r.Status, r.Body))
			w.mu.Unlock()
			return
		}
		if err == nil && r.Status == http.StatusOK {
			w.revision.Store(max(w.revision.Load(), r.Revision))
			w.count.Add(1)
			w.mu.Lock()
			w.slowest = max(w.slowest, time.Since(begin))
			w.mu.Unlock()
			return
		}
	}
}

// report is what went on: the longest time that a change took, and what was refused.
func (w *configurationWriter) report() (longest time.Duration, refused []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowest, w.refused
}

// watchLeases watches that no sidecar's right to admit lapses until the test says stop,
// which tells the oldest that it came to.
func watchLeases(ctx context.Context, f *fleet.Fleet) (stop func() (oldest time.Duration, lapsed int)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var oldest time.Duration
	lapsed := 0
	wg.Go(func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			for _, p := range f.Sidecars {
				var st struct {
					Claimed bool   `json:"claimed"`
					Age     string `json:"claim_age"`
				}
				if _, err := p.Get(ctx, "/v1/stats", &st); err != nil {
					continue
				}
				age, _ := time.ParseDuration(st.Age)
				if oldest = max(oldest, age); !st.Claimed {
					lapsed++
				}
			}
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	})
	return func() (time.Duration, int) {
		cancel()
		wg.Wait()
		return oldest, lapsed
	}
}

// The disk of the core on duty stalls, takes nothing, or is slow, while the
// configuration is changed again and again: the other two confirm the changes, no
// sidecar's lease lapses, nothing is refused for want of one, and once the disk is well
// its core has the newest word and the duty again.
func TestDiskFaultOnCoordinator(t *testing.T) {
	for _, fault := range []string{fleet.DiskStall, fleet.DiskFull, fleet.DiskSlow} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f, ctx := startFleet(t, smallFleet())
			stopLoad := startLoad(ctx, f)
			must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, 5))
			w := &configurationWriter{f: f, replicas: f.Replicas, interval: 700 * time.Millisecond}
			stopChanges := w.start(ctx)
			must(t, fleet.Await(ctx, "a change", func(context.Context) bool { return w.count.Load() > 0 }))
			stopLeases := watchLeases(ctx, f)
			must(t, f.SetDiskFault(f.Replicas[0], fault))
			began, before := time.Now(), w.count.Load()
			must(t, fleet.Await(ctx, "8 s to pass", func(context.Context) bool { return time.Since(began) > 8*time.Second }))
			during := w.count.Load() - before
			must(t, f.SetDiskFault(f.Replicas[0], fleet.DiskHealthy))
			oldest, lapsed := stopLeases()
			stopChanges()
			if longest, refused := w.report(); during < 4 || longest > 4*time.Second || len(refused) > 0 {
				t.Errorf("%d changes were acknowledged in 8 s, the slowest after %v; refused: %v", during, longest, refused)
			}
			if lapsed > 0 {
				t.Errorf("leases had lapsed %d times, the oldest was %v", lapsed, oldest)
			}
			t.Logf("%d changes acknowledged, the oldest lease %v", during, oldest.Round(time.Millisecond))
			must(t, f.AwaitServing(ctx, w.revision.Load(), len(f.Size.Backends)))
			must(t, fleet.Await(ctx, "the duty to be back with the newest word", func(ctx context.Context) bool {
				var st struct {
					Duty int
					Mark struct{ Stamp uint64 }
				}
				_, err := f.Replicas[0].Get(ctx, "/v1/state", &st)
				return err == nil && st.Duty == 1 && st.Mark.Stamp >= w.revision.Load()
			}))
			stopLoad()
			checkLedger(t, f)
		})
	}
}
