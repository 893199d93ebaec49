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

// configurationWriter has numbered configurations put to some replicas in turn, one at each
// interval, each again until it is acknowledged.
type configurationWriter struct {
	f        *fleet.Fleet
	replicas []*fleet.Program
	interval time.Duration
	// revision is the highest that was acknowledged, count how many were.
	revision, count atomic.Uint64

	mu      sync.Mutex
	slowest time.Duration // until an acknowledgement
	refused []string      // final refusals
}

// start begins writing; stop ends it and waits for the end.
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

// put puts one configuration. After a second without an answer the next replica is tried.
func (w *configurationWriter) put(ctx context.Context, n int) {
	begin := time.Now()
	for attempt := n; ctx.Err() == nil; attempt++ {
		call, cancel := context.WithTimeout(ctx, time.Second)
		r, err := w.f.Operate(call, w.replicas[attempt%len(w.replicas)], "PUT", configurationPath, w.f.Configuration(), generationHeader, fmt.Sprint(n))
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

// report returns how long the slowest acknowledgement took, and what was refused.
func (w *configurationWriter) report() (longest time.Duration, refused []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowest, w.refused
}

// watchLeases watches that no sidecar's lease lapses until stop is called, which returns the age of the
// oldest lease and how often one had lapsed.
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
					Valid bool   `json:"claimed"`
					Age   string `json:"claim_age"`
				}
				if _, err := p.Get(ctx, "/v1/stats", &st); err != nil {
					continue
				}
				age, _ := time.ParseDuration(st.Age)
				if oldest = max(oldest, age); !st.Valid {
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

// The disk of the coordinator stalls, is full, or is slow, while the configuration is changed again and
// again: the other replicas confirm the changes, no sidecar's lease lapses, nothing is refused for
// that, and once the disk is healthy its replica has the newest state and is the coordinator again.
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
			awaitElapsed(ctx, t, began, 8*time.Second)
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
			must(t, fleet.Await(ctx, "the replica to be the coordinator again, with the newest state", func(ctx context.Context) bool {
				st, err := readState(ctx, f.Replicas[0])
				return err == nil && st.Coordinator == 1 && st.Position.Revision >= w.revision.Load()
			}))
			stopLoad()
			checkLedger(t, f)
		})
	}
}
