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

// A backend that is warming up gets its service's rate of requests over any second, from the
// sidecar's start on, and no more than that at a time; what is rejected has not run, and is told
// when to retry.
func TestColdRate(t *testing.T) {
	b := newFakeBackend(t, respondOK)
	in := b.inbound
	in.Draining, in.LeaseHeld = func() bool { return false }, func() bool { return true }
	in.Causality = causality.NewTracker()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in.Actors.Go(ctx, "causality", in.Causality.Run)
	table, ok := routing.NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: []byte(`{"ways": [{"name": "w", "prefix": "/", "service": "desk", "contract": "c"}],
		"contracts": [{"name": "c", "rank": 1, "aim": "1s", "expiry": "2s"}],
		"services": [{"name": "desk", "connections": 6, "cold": {"for": "5s", "rate": 4}}]}`)})
	if !ok {
		t.Fatal("the configuration is not valid")
	}
	in.Table = func() *routing.Table { return table }
	announce := func(remaining string) {
		t.Helper()
		registry, faults := endpoints.Registry{}.Announce(endpoints.Announcement{Instance: "a", Service: "desk", Address: b.endpoint.Address, Capacity: 20, Warmup: &endpoints.Warmup{Remaining: remaining}}, "north", time.Now())
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		in.Endpoints = func() endpoints.Registry { return registry }
	}
	n := 0
	send := func() AttemptResponse {
		n++
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		return in.admit(ctx, &Attempt{ID: fmt.Sprint(n), Service: "desk", Instance: "a", Route: "w", Method: "GET", URI: "/", Host: "x", Timeout: time.Second, TimeToTarget: time.Second}, trace.Root())
	}
	answered := func() (count int) {
		for range 20 {
			response := send()
			switch {
			case response.Outcome == routing.Answered:
				count++
			case response.Outcome != routing.NotRun || response.Reason != string(endpoints.BackendFull) || response.RetryAfter <= 0 || response.ReachedBackend:
				t.Fatalf("%+v", response)
			}
		}
		return count
	}
	announce("5s")
	if got := answered(); got != 0 {
		t.Errorf("%d were answered just after the start", got)
	}
	in.started = time.Now().Add(-time.Minute)
	if got := answered(); got != 4 {
		t.Errorf("%d were answered within a second", got)
	}
	if got := len(b.runs); got != 4 {
		t.Errorf("the backend received %d", got)
	}
	limit := in.ConcurrencyLimit(in.Endpoints().Endpoints()[0], time.Now())
	announce("0s")
	if warm := in.ConcurrencyLimit(in.Endpoints().Endpoints()[0], time.Now()); limit != 4 || warm != 6 {
		t.Errorf("warming up it runs %d at a time, warm %d", limit, warm)
	}
	for halfCapacityTime, want := range map[time.Duration]int64{0: 6, 10 * time.Second: 5} {
		// Half of ten, or no more than the connections that it takes.
		in.HalfCapacityTime, in.started = halfCapacityTime, time.Now()
		e := in.Endpoints().Endpoints()[0]
		e.Capacity = 10
		if got := in.ConcurrencyLimit(e, time.Now()); got != want {
			t.Errorf("at the start, half capacity for %v: %d, want %d", halfCapacityTime, got, want)
		}
	}
	if got := answered(); got != 20 {
		t.Errorf("warm: %d of 20", got)
	}
}
