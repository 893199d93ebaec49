package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// The limit of a cold backend, as the users' rule has it: in any second at most the warm-up rate times
// the overshoot, and the slack.
const (
	coldPeriod    = 3 * time.Second
	coldRate      = 9.3
	coldOvershoot = 1.5
	coldSlack     = 5
	coldBound     = coldRate*coldOvershoot + coldSlack
)

// restoredZoneRate is the rate of the load on the two backends, in requests per second. A warm backend gets
// well over coldBound of it.
const restoredZoneRate = 120

// restoredZoneWork is how long a backend works on a request. So the backend in the north, with the
// lower capacity, can't take all of the load.
const restoredZoneWork = 50 * time.Millisecond

// arrivalLog records when requests reach a backend.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalLog) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	a.times = append(a.times, time.Now())
	a.mu.Unlock()
	<-time.After(restoredZoneWork)
	w.Write([]byte("done"))
}

// busiestSecond returns the most arrivals within one second in a time span.
func (a *arrivalLog) busiestSecond(from, to time.Time) (most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	within := slices.DeleteFunc(slices.Clone(a.times), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	first := 0
	for i, at := range within {
		for at.Sub(within[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// firstAbove returns the first time after from at which the last second had more than a number of
// arrivals, or the zero time if there was none.
func (a *arrivalLog) firstAbove(count float64, from time.Time) time.Time {
	a.mu.Lock()
	times := slices.Clone(a.times)
	a.mu.Unlock()
	for _, at := range times {
		if at.After(from) && float64(a.busiestSecond(from, at)) > count {
			return at
		}
	}
	return time.Time{}
}

// restoredZoneFleet starts a fleet with a backend of the same service in each of two zones, behind
// proxies. The service has a warm-up rate. The backends announce themselves as warm throughout: so the
// sidecar does not learn that the one in the south has turned cold.
func restoredZoneFleet(t *testing.T) (f *fleet.Fleet, ctx context.Context, arrivals *arrivalLog) {
	t.Helper()
	f, ctx = newFleet(t, fleet.Size{Name: "restored", Replicas: 3, Machines: 2, Zones: []string{"north", "south"}, Capacity: 9, Plans: []fakes.RequestPlan{readPlan}})
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	arrivals = &arrivalLog{}
	capacities := []int{2, 9}
	for machine, handler := range []http.Handler{&arrivalLog{}, arrivals} {
		b := &fakes.Backend{
			Instance: fmt.Sprint("desk-", machine), Service: "desk", Zone: f.Zone(machine), Capacity: capacities[machine], CountsAnnouncements: true,
			Control: f.Sidecars[machine].Control, RequestPlans: f.Size.Plans, Ledger: f.Ledger, HTTP: f.HTTP, Handle: handler,
		}
		must(t, b.Start(net.JoinHostPort(f.Site.IP(machine), "8000")))
		f.Backends = append(f.Backends, b)
	}
	var document map[string]any
	must(t, json.Unmarshal(f.Configuration(), &document))
	document["services"] = []any{map[string]any{"name": "desk", "cold": map[string]any{"for": coldPeriod.String(), "rate": coldRate}}}
	body, err := json.Marshal(document)
	must(t, err)
	revision, err := f.PutConfiguration(ctx, 0, body)
	must(t, err)
	must(t, f.AwaitServing(ctx, revision, len(f.Backends)))
	return f, ctx, arrivals
}

// sendReads sends requests from the machine in the north at restoredZoneRate until ctx ends.
func sendReads(ctx context.Context, f *fleet.Fleet) {
	var open sync.WaitGroup
	defer open.Wait()
	c := f.NewClient(0, 1)
	ticker := time.NewTicker(time.Second / restoredZoneRate)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			open.Go(func() { c.SendOne(ctx, readPlan) })
		}
	}
}

// TestRestoredZoneMayBeCold guards against a backend that turned cold shortly before its zone was
// restored and gets what a warm one bears, since its sidecar does not know of it yet. This must hold
// whatever the sidecar has seen of the evacuation: it may have been started after its end, or have been
// partitioned from the replicas throughout.
func TestRestoredZoneMayBeCold(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(f *fleet.Fleet) (before, after func() error){
		"the sidecar sees all": func(*fleet.Fleet) (before, after func() error) {
			nothing := func() error { return nil }
			return nothing, nothing
		},
		"the sidecar starts after the order": func(f *fleet.Fleet) (before, after func() error) {
			return func() error { f.Kill(f.Sidecars[1]); return nil }, func() error { return f.Restart(f.Sidecars[1]) }
		},
		"the sidecar and the replicas start again": func(f *fleet.Fleet) (before, after func() error) {
			all := append([]*fleet.Program{f.Sidecars[1]}, f.Replicas...)
			return func() error { return nil }, func() error { f.Kill(all...); return f.Restart(all...) }
		},
		"the sidecar is partitioned from the replicas": func(f *fleet.Fleet) (before, after func() error) {
			return func() error { f.Network.PartitionBetween([]string{f.Sidecars[1].IP}, f.ReplicaIPs()); return nil },
				func() error { f.Network.Heal(); return nil }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, ctx, arrivals := restoredZoneFleet(t)
			before, after := disturb(f)
			must(t, before())
			_, err := f.EvacuateZone(ctx, f.Replicas[0], "south")
			must(t, err)
			loadCtx, stop := context.WithCancel(ctx)
			var load sync.WaitGroup
			load.Go(func() { sendReads(loadCtx, f) })
			defer load.Wait()
			defer stop()
			// No request reaches the zone any more, not even by a sidecar that has not seen the order.
			lastArrival := time.Now()
			must(t, awaitCondition(ctx, func(context.Context) bool {
				if arrivals.busiestSecond(time.Now().Add(-1200*time.Millisecond), time.Now()) > 0 {
					lastArrival = time.Now()
				}
				return time.Since(lastArrival) > 1200*time.Millisecond
			}))
			turnedCold := time.Now()
			_, err = f.RestoreZone(ctx, f.Replicas[1], "south")
			must(t, err)
			must(t, after())
			warm := turnedCold.Add(coldPeriod)
			must(t, awaitCondition(ctx, func(context.Context) bool { return time.Now().After(warm) }))
			if got := arrivals.busiestSecond(turnedCold, warm); float64(got) > coldBound {
				t.Errorf("%d requests reached the cold backend in its busiest second, want at most %.2f", got, coldBound)
			}
			must(t, awaitCondition(ctx, func(context.Context) bool { return float64(arrivals.busiestSecond(warm, time.Now())) > coldBound }))
			t.Logf("at most %d requests in a second while it was cold; over %.2f in a second after %v", arrivals.busiestSecond(turnedCold, warm), coldBound, arrivals.firstAbove(coldBound, turnedCold).Sub(turnedCold).Round(100*time.Millisecond))
		})
	}
}
