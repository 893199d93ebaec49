package e2e

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/ledger"
)

// TestOverloadByPriority checks that under overload requests of the higher priority are served and
// those of the lower priority are refused first. The clients retry immediately. No rule may be broken.
func TestOverloadByPriority(t *testing.T) {
	t.Parallel()
	size := smallFleet()
	size.Capacity, size.Rate = 1, 160
	f, ctx := startFleet(t, size)
	load, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	var mu sync.Mutex
	sent, good := map[int]int{}, map[int]int{}
	callers := f.Clients()
	for _, c := range callers {
		c.Retries = 2
		c.OnAnswer = func(p fakes.RequestPlan, a ledger.Answered, _ time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			sent[p.Priority]++
			if a.Status == http.StatusOK {
				good[p.Priority]++
			}
		}
	}
	f.RunClients(load, callers...)
	checkLedger(t, f)
	t.Logf("requests served by priority: %v of %v", good, sent)
	firstShare, secondShare := float64(good[1])/float64(sent[1]), float64(good[2])/float64(sent[2])
	if firstShare <= secondShare || good[2] == sent[2] {
		t.Errorf("served shares: priority 1 %.2f, priority 2 %.2f; want a higher share for priority 1 and refusals for priority 2", firstShare, secondShare)
	}
}

// concurrencyMeter is a backend that holds each request for 100 ms and records the highest number of
// requests at a time.
type concurrencyMeter struct{ open, peak atomic.Int64 }

// ServeHTTP counts a request while it runs.
func (m *concurrencyMeter) ServeHTTP(http.ResponseWriter, *http.Request) {
	n := m.open.Add(1)
	defer m.open.Add(-1)
	for old := m.peak.Load(); n > old && !m.peak.CompareAndSwap(old, n); old = m.peak.Load() {
	}
	work := time.NewTimer(100 * time.Millisecond)
	defer work.Stop()
	<-work.C
}

// flood sends 60 requests at the same time and returns the number that were served.
func (r *rig) flood() int64 {
	var wg sync.WaitGroup
	var served atomic.Int64
	for range 60 {
		wg.Go(func() {
			if a := r.send("GET", "/look/", ""); a.StatusCode == http.StatusOK {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	return served.Load()
}

// TestSlowStartLimit checks that a cold backend without alternatives never runs more than 1.5 times
// its cold capacity, even when all clients send at the same time. This must also hold after its
// sidecar was killed and restarted, while requests that the killed sidecar admitted still run.
func TestSlowStartLimit(t *testing.T) {
	t.Parallel()
	const capacity, warmth, maxConcurrent = 10, 0.4, 6 // 1.5 times 0.4 of 10
	r := newRig(t)
	started := time.Now()
	meter := &concurrencyMeter{}
	b := &fakes.Backend{
		Instance: "cold", Service: "desk", Zone: r.Zone(1), Capacity: capacity, Warmth: warmth, Control: r.Sidecars[1].Control,
		Ledger: r.Ledger, HTTP: r.HTTP, Handle: meter,
	}
	must(t, b.Start(r.Site.IP(1)+":8500"))
	r.Backends = append(r.Backends, b)
	must(t, r.AwaitServing(r.ctx, 1, 1))
	// Wait until the sidecar no longer reserves capacity for requests that an earlier sidecar may have
	// admitted.
	awaitElapsed(r.ctx, t, started, 4*time.Second)
	if r.flood() == 0 {
		t.Error("no request was served")
	}
	// Requests that the killed sidecar admitted may still be running.
	var wg sync.WaitGroup
	wg.Go(func() { r.flood() })
	must(t, awaitRuns(r.ctx, meter.open.Load, 3))
	r.Sidecars[1].Kill()
	must(t, r.Sidecars[1].Start())
	must(t, r.AwaitServing(r.ctx, 1, 1))
	r.flood()
	wg.Wait()
	if meter.peak.Load() > maxConcurrent {
		t.Errorf("the backend ran %d requests at a time, want at most 1.5 times its cold capacity of %v", meter.peak.Load(), capacity*warmth)
	}
	t.Logf("the backend ran at most %d requests at a time", meter.peak.Load())
}
