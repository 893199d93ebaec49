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

// A cold backend is let have its service's rate over any second, from the sidecar's
// start on; what is refused was not run, and is told when to come again. So many run at
// a time, too.
func TestColdRate(t *testing.T) {
	b := newFakeBackend(t, respondOK)
	f := b.inbound
	f.Draining, f.LeaseHeld = func() bool { return false }, func() bool { return true }
	f.Causality = causality.NewTracker()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.Actors.Go(ctx, "lineage", f.Causality.Run)
	table, ok := routing.NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: []byte(`{"ways": [{"name": "w", "prefix": "/", "service": "desk", "contract": "c"}],
		"contracts": [{"name": "c", "rank": 1, "aim": "1s", "expiry": "2s"}],
		"services": [{"name": "desk", "connections": 6, "cold": {"for": "5s", "rate": 4}}]}`)})
	if !ok {
		t.Fatal("the configuration is not taken")
	}
	f.Table = func() *routing.Table { return table }
	announce := func(left string) {
		r, faults := endpoints.Registry{}.Announce(endpoints.Announcement{Instance: "a", Service: "desk", Address: b.entry.Address, Capacity: 20, Warmup: &endpoints.Warmup{Remaining: left}}, "north", time.Now())
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		f.Endpoints = func() endpoints.Registry { return r }
	}
	n := 0
	put := func() AttemptResponse {
		n++
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		return f.admit(ctx, &Attempt{ID: fmt.Sprint(n), Service: "desk", Instance: "a", Route: "w", Method: "GET", URI: "/", Host: "x", Timeout: time.Second, TimeToTarget: time.Second}, trace.Root())
	}
	answered := func() (count int) {
		for range 20 {
			response := put()
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
		t.Errorf("%d just after the sidecar's start", got)
	}
	f.started = time.Now().Add(-time.Minute)
	if got := answered(); got != 4 {
		t.Errorf("%d within a second", got)
	}
	if got := len(b.runs); got != 4 {
		t.Errorf("the backend saw %d", got)
	}
	limit := f.ConcurrencyLimit(f.Endpoints().Endpoints()[0], time.Now())
	announce("0s")
	if warm := f.ConcurrencyLimit(f.Endpoints().Endpoints()[0], time.Now()); limit != 4 || warm != 6 {
		t.Errorf("cold it runs %d at a time, warm %d", limit, warm)
	}
	for halving, want := range map[time.Duration]int64{0: 6, 10 * time.Second: 5} {
		// Half of ten, or no more than the connections that it takes.
		f.HalfCapacityTime, f.started = halving, time.Now()
		e := f.Endpoints().Endpoints()[0]
		e.Capacity = 10
		if got := f.ConcurrencyLimit(e, time.Now()); got != want {
			t.Errorf("at the start, halving for %v: %d", halving, got)
		}
	}
	if got := answered(); got != 20 {
		t.Errorf("warm: %d of 20", got)
	}
}
