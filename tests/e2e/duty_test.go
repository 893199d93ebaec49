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

// changes has numbered configurations put to some cores in turn, one every interval,
// each again until it is acknowledged, until the test says stop.
type changes struct {
	f     *fleet.Fleet
	cores []*fleet.Program
	every time.Duration
	// acked is the highest stamp that was acknowledged, count how many were.
	acked, count atomic.Uint64
	mu           sync.Mutex
	longest      time.Duration // that one took until it was acknowledged
	refused      []string      // answers for good
}

// start begins; stop waits for the end.
func (c *changes) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(c.every)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				c.put(ctx, n)
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
func (c *changes) put(ctx context.Context, n int) {
	begin := time.Now()
	for try := n; ctx.Err() == nil; try++ {
		call, cancel := context.WithTimeout(ctx, time.Second)
		r, err := c.f.Operate(call, c.cores[try%len(c.cores)], "PUT", "/v1/desired", c.f.Configuration(), "Curlewwalk-Edition", fmt.Sprint(n))
		cancel()
		if err == nil && r.Status/100 == 4 {
			c.mu.Lock()
			c.refused = append(c.refused, fmt.Sprintf("%d %s", r.Status, r.Body))
			c.mu.Unlock()
			return
		}
		if err == nil && r.Status == http.StatusOK {
			c.acked.Store(max(c.acked.Load(), r.Stamp))
			c.count.Add(1)
			c.mu.Lock()
			c.longest = max(c.longest, time.Since(begin))
			c.mu.Unlock()
			return
		}
	}
}

// report is what went on: the longest time that a change took, and what was refused.
func (c *changes) report() (longest time.Duration, refused []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longest, c.refused
}

// leases watches that no sidecar's right to admit lapses until the test says stop,
// which tells the oldest that it came to.
func leases(ctx context.Context, f *fleet.Fleet) (stop func() (oldest time.Duration, lapsed int)) {
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
func TestDiskOnDuty(t *testing.T) {
	for _, trouble := range []string{fleet.DiskStall, fleet.DiskFull, fleet.DiskSlow} {
		t.Run(trouble, func(t *testing.T) {
			t.Parallel()
			f, ctx := start(t, small())
			stopLoad := load(ctx, f)
			must(t, awaitRuns(ctx, f.Backends[0].Runs.Load, 5))
			c := &changes{f: f, cores: f.Cores, every: 700 * time.Millisecond}
			stopChanges := c.start(ctx)
			must(t, fleet.Await(ctx, "a change", func(context.Context) bool { return c.count.Load() > 0 }))
			stopLeases := leases(ctx, f)
			must(t, f.Disk(f.Cores[0], trouble))
			began, before := time.Now(), c.count.Load()
			must(t, fleet.Await(ctx, "8 s to pass", func(context.Context) bool { return time.Since(began) > 8*time.Second }))
			during := c.count.Load() - before
			must(t, f.Disk(f.Cores[0], fleet.DiskWell))
			oldest, lapsed := stopLeases()
			stopChanges()
			if longest, refused := c.report(); during < 4 || longest > 4*time.Second || len(refused) > 0 {
				t.Errorf("%d changes were acknowledged in 8 s, the slowest after %v; refused: %v", during, longest, refused)
			}
			if lapsed > 0 {
				t.Errorf("leases had lapsed %d times, the oldest was %v", lapsed, oldest)
			}
			t.Logf("%d changes acknowledged, the oldest lease %v", during, oldest.Round(time.Millisecond))
			must(t, f.AwaitServing(ctx, c.acked.Load(), len(f.Size.Backends)))
			must(t, fleet.Await(ctx, "the duty to be back with the newest word", func(ctx context.Context) bool {
				var st struct {
					Duty int
					Mark struct{ Stamp uint64 }
				}
				_, err := f.Cores[0].Get(ctx, "/v1/state", &st)
				return err == nil && st.Duty == 1 && st.Mark.Stamp >= c.acked.Load()
			}))
			stopLoad()
			judge(t, f)
		})
	}
}
