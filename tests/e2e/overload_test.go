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

// Under overload, with clients that retry at once, the higher priority keeps its service and the lower one
// gives way; nothing else goes wrong.
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
	t.Logf("good by priority: %v of %v", good, sent)
	first, second := float64(good[1])/float64(sent[1]), float64(good[2])/float64(sent[2])
	if first <= second || good[2] == sent[2] {
		t.Errorf("priority 1 was served %.2f, priority 2 %.2f", first, second)
	}
}

// concurrencyMeter is a backend that works for a moment and measures how many requests it runs at a
// time.
type concurrencyMeter struct{ open, peak atomic.Int64 }

// ServeHTTP runs a request.
func (m *concurrencyMeter) ServeHTTP(http.ResponseWriter, *http.Request) {
	n := m.open.Add(1)
	defer m.open.Add(-1)
	for old := m.peak.Load(); n > old && !m.peak.CompareAndSwap(old, n); old = m.peak.Load() {
	}
	work := time.NewTimer(100 * time.Millisecond)
	defer work.Stop()
	<-work.C
}

// flood sends 60 requests at once, and returns how many were served.
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

// A cold backend that is the only one never gets more than one and a half times what it can bear, with all
// clients sending at once; also when its sidecar was killed and started again.
func TestSlowStartLimit(t *testing.T) {
	t.Parallel()
	const capacity, warmth, most = 10, 0.4, 6 // 1.5 times 0.4 of 10
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
	// Until the sidecar no longer accounts for what an earlier one may have admitted.
	awaitElapsed(r.ctx, t, started, 4*time.Second)
	if r.flood() == 0 {
		t.Error("nothing was served")
	}
	// What a killed sidecar had admitted may still be running.
	var wg sync.WaitGroup
	wg.Go(func() { r.flood() })
	must(t, awaitRuns(r.ctx, meter.open.Load, 3))
	r.Sidecars[1].Kill()
	must(t, r.Sidecars[1].Start())
	must(t, r.AwaitServing(r.ctx, 1, 1))
	r.flood()
	wg.Wait()
	if meter.peak.Load() > most {
		t.Errorf("%d at a time at a backend that can bear %v", meter.peak.Load(), capacity*warmth)
	}
	t.Logf("at most %d at a time", meter.peak.Load())
}
