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

// configurationWriter puts numbered configurations to the given replicas in turn, one per interval. It
// repeats each configuration until it is acknowledged or refused.
type configurationWriter struct {
	f        *fleet.Fleet
	replicas []*fleet.Program
	interval time.Duration
	// revision is the highest acknowledged revision. count is the number of acknowledgements.
	revision, count atomic.Uint64

	mu      sync.Mutex
	slowest time.Duration // longest time until an acknowledgement
	refused []string      // answers with a 4xx status
}

// start starts writing. stop stops it and waits until it has ended.
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

// put puts configuration n. It tries the next replica after an answer that is neither an
// acknowledgement nor a refusal, and after 1 s without an answer.
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

// report returns the longest time until an acknowledgement, and the refusals.
func (w *configurationWriter) report() (longest time.Duration, refused []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowest, w.refused
}

// watchLeases polls the leases of all sidecars every 100 ms until stop is called. stop returns the age
// of the oldest lease that was seen, and the number of polls that found an expired lease.
func watchLeases(ctx context.Context, f *fleet.Fleet) (stop func() (oldest time.Duration, expired int)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var oldest time.Duration
	expired := 0
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
					expired++
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
		return oldest, expired
	}
}

// TestDiskFaultOnCoordinator checks that a fault of the coordinator's disk does not interrupt the
// control plane. The disk stalls, is full, or is slow while the configuration changes repeatedly. The
// other replicas must confirm the changes, no sidecar's lease may expire, and no change may be
// refused. Once the disk is healthy, its replica must have the newest state and be the coordinator
// again.
func TestDiskFaultOnCoordinator(t *testing.T) {
	for _, fault := range []string{fleet.DiskStall, fleet.DiskFull, fleet.DiskSlow} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f, ctx := startFleet(t, smallFleet())
			stopLoad := startLoad(ctx, f)
			must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, 5))
			w := &configurationWriter{f: f, replicas: f.Replicas, interval: 700 * time.Millisecond}
			stopChanges := w.start(ctx)
			must(t, fleet.Await(ctx, "a configuration change to be acknowledged", func(context.Context) bool { return w.count.Load() > 0 }))
			stopLeases := watchLeases(ctx, f)
			must(t, f.SetDiskFault(f.Replicas[0], fault))
			began, before := time.Now(), w.count.Load()
			awaitElapsed(ctx, t, began, 8*time.Second)
			during := w.count.Load() - before
			must(t, f.SetDiskFault(f.Replicas[0], fleet.DiskHealthy))
			oldest, expired := stopLeases()
			stopChanges()
			if slowest, refused := w.report(); during < 4 || slowest > 4*time.Second || len(refused) > 0 {
				t.Errorf("%d changes were acknowledged in 8 s, the slowest after %v, with refusals %v; want at least 4, at most 4s, no refusal", during, slowest, refused)
			}
			if expired > 0 {
				t.Errorf("found an expired lease %d times, the oldest lease was %v; want no expired lease", expired, oldest)
			}
			t.Logf("%d changes were acknowledged, the oldest lease was %v", during, oldest.Round(time.Millisecond))
			must(t, f.AwaitServing(ctx, w.revision.Load(), len(f.Size.Backends)))
			must(t, fleet.Await(ctx, "the replica to become coordinator again with the newest state", func(ctx context.Context) bool {
				st, err := readState(ctx, f.Replicas[0])
				return err == nil && st.Coordinator == 1 && st.Position.Revision >= w.revision.Load()
			}))
			stopLoad()
			checkLedger(t, f)
		})
	}
}
