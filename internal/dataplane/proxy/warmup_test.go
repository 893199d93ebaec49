package proxy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/causality"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/trace"
)

// warmupFixture is an inbound side whose backend has a warm-up rate of 4 requests per second and at
// most 6 connections.
type warmupFixture struct {
	*fakeBackend
	t    *testing.T
	sent int
}

func newWarmupFixture(t *testing.T) *warmupFixture {
	t.Helper()
	f := &warmupFixture{fakeBackend: newFakeBackend(t, respondOK), t: t}
	table, ok := routing.NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: []byte(`{"ways": [{"name": "w", "prefix": "/", "service": "desk", "contract": "c"}],
		"contracts": [{"name": "c", "rank": 1, "aim": "1s", "expiry": "2s"}],
		"services": [{"name": "desk", "connections": 6, "cold": {"for": "5s", "rate": 4}}]}`)})
	if !ok {
		t.Fatal("invalid configuration")
	}
	in := f.inbound
	in.Table = func() *routing.Table { return table }
	in.Draining, in.LeaseHeld = func() bool { return false }, func() bool { return true }
	in.Causality = causality.NewTracker()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	in.Actors.Go(ctx, "causality", in.Causality.Run)
	return f
}

// announce announces the backend with the given remaining warm-up time.
func (f *warmupFixture) announce(remaining string) {
	f.t.Helper()
	registry, faults := endpoints.Registry{}.Announce(endpoints.Announcement{Instance: "a", Service: "desk", Address: f.endpoint.Address, Capacity: 20, Warmup: &endpoints.Warmup{Remaining: remaining}}, "north", time.Now())
	if len(faults) > 0 {
		f.t.Fatal(faults)
	}
	f.inbound.Endpoints = func() endpoints.Registry { return registry }
}

// limit returns the backend's concurrency limit. A nonzero capacity replaces the backend's
// capacity.
func (f *warmupFixture) limit(capacity int) int64 {
	endpoint := f.inbound.Endpoints().Endpoints()[0]
	if capacity > 0 {
		endpoint.Capacity = capacity
	}
	return f.inbound.ConcurrencyLimit(endpoint, time.Now())
}

// send sends an attempt through admission.
func (f *warmupFixture) send() AttemptResponse {
	f.sent++
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return f.inbound.admit(ctx, &Attempt{ID: fmt.Sprint(f.sent), Service: "desk", Instance: "a", Route: "w", Method: "GET", URI: "/", Host: "x", Timeout: time.Second, TimeToTarget: time.Second}, trace.Root())
}

// countAnswered sends 20 attempts and returns how many were answered. The others must be rejected
// because the backend is full, with a retry time.
func (f *warmupFixture) countAnswered() (count int) {
	f.t.Helper()
	for range 20 {
		response := f.send()
		switch {
		case response.Outcome == routing.Answered:
			count++
		case response.Outcome != routing.NotRun || response.Reason != string(endpoints.BackendFull) || response.RetryAfter <= 0 || response.ReachedBackend:
			f.t.Fatalf("response %+v, want an answer or a rejection with a retry time", response)
		}
	}
	return count
}

// TestWarmupRate checks that a backend that is warming up gets at most its service's warm-up rate
// of requests in any second from the sidecar's start, and at most that many concurrently. Rejected
// attempts must be reported as not run, with a retry time.
func TestWarmupRate(t *testing.T) {
	f := newWarmupFixture(t)
	f.announce("5s")
	if got := f.countAnswered(); got != 0 {
		t.Errorf("%d attempts were answered just after the start, want 0", got)
	}
	f.inbound.started = time.Now().Add(-time.Minute)
	if got := f.countAnswered(); got != 4 {
		t.Errorf("%d attempts were answered within a second, want 4", got)
	}
	if got := len(f.runs); got != 4 {
		t.Errorf("the backend received %d requests, want 4", got)
	}
	warmingUp := f.limit(0)
	f.announce("0s")
	if warm := f.limit(0); warmingUp != 4 || warm != 6 {
		t.Errorf("concurrency limit is %d during the warm-up and %d after it, want 4 and 6", warmingUp, warm)
	}
	for halfCapacityTime, want := range map[time.Duration]int64{0: 6, 10 * time.Second: 5} {
		// The limit is the maximum number of connections, or half of a capacity of ten if the
		// capacity is halved.
		f.inbound.HalfCapacityTime, f.inbound.started = halfCapacityTime, time.Now()
		if got := f.limit(10); got != want {
			t.Errorf("concurrency limit at the start, with half capacity for %v: %d, want %d", halfCapacityTime, got, want)
		}
	}
	if got := f.countAnswered(); got != 20 {
		t.Errorf("after the warm-up, %d of 20 attempts were answered, want all", got)
	}
}

// TestPossiblyColdBackend guards against a backend of a restored zone that gets what a warm one bears
// because its last announcement says that it is warm. Once its warm-up period has passed, it gets all.
func TestPossiblyColdBackend(t *testing.T) {
	f := newWarmupFixture(t)
	f.inbound.started = time.Now().Add(-time.Minute)
	f.announce("0s")
	configured := f.inbound.Table()
	evacuated, _ := routing.NewTable(config.ControlState{Revision: 2, EvacuatedByOperator: []string{"north"}})
	for _, c := range []struct {
		restoredAt   time.Time
		want         int
		wantLimit    int64
		wantReceived int
	}{
		{time.Now(), 4, 4, 4},
		{time.Now().Add(-time.Hour), 20, 6, 24},
	} {
		restored := configured.WithRevision(3)
		restored.SlowStart = routing.SlowStart{Duration: 1, InitialShare: 1} // no slow start of the zone
		restored.ContinueSlowStart(evacuated, c.restoredAt)
		f.inbound.Table = func() *routing.Table { return restored }
		if got := f.countAnswered(); got != c.want || len(f.runs) != c.wantReceived {
			t.Errorf("restored at %v: %d of 20 attempts were answered and the backend received %d, want %d and %d", c.restoredAt, got, len(f.runs), c.want, c.wantReceived)
		}
		if got := f.limit(0); got != c.wantLimit {
			t.Errorf("restored at %v: concurrency limit %d, want %d", c.restoredAt, got, c.wantLimit)
		}
	}
}
