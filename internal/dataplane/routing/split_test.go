package routing

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// A split's services get their parts; one of no weight gets nothing.
func TestPick(t *testing.T) {
	if got := PickService(config.Route{Service: "one"}, nil); got != "one" {
		t.Errorf("without a split: %q", got)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	w, got := config.Route{Split: []config.WeightedService{{Service: "none"}, {Service: "most", Weight: 95}, {Service: "few", Weight: 5}, {Service: "never"}}}, map[string]int{}
	for range 20000 {
		got[PickService(w, rng.IntN)]++
	}
	if got["most"] < 18800 || got["most"] > 19200 || got["most"]+got["few"] != 20000 {
		t.Errorf("%v", got)
	}
}

// A request has as many attempts as its way says, three if it says nothing.
func TestAttempts(t *testing.T) {
	nodes := map[string]membership.Node{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		nodes[name] = membership.Node{Addr: name, Backends: []membership.Backend{{Instance: name, Service: "s", Capacity: 1, CapacityShare: 1}}}
	}
	view := membership.NewView(nodes, nil)
	table, _ := NewTable(config.ControlState{})
	for attempts, want := range map[int]int{0: 3, 1: 1, 2: 2, 5: 5, 10: 6} {
		now := time.Now()
		d := Decision{
			Route: config.Route{Name: "w", Service: "s", MaxAttempts: attempts}, Deadline: now.Add(time.Second), Rand: rand.New(rand.NewPCG(1, 1)),
			Conditions: Conditions{Latency: func(membership.Target) LatencyHistogram { return LatencyHistogram{} }, SpendRetry: func() bool { return true }},
		}
		for {
			action := d.Next(table, view, now)
			if action.Kind != Send {
				if action.Failure.Status != http.StatusServiceUnavailable {
					t.Errorf("legs %d: ended with %+v", attempts, action.Failure)
				}
				break
			}
			d.Record(AttemptResult{Target: action.Target, Outcome: NotRun, ReachedBackend: true})
		}
		if got := len(d.Attempts()); got != want {
			t.Errorf("legs %d: %d were sent", attempts, got)
		}
	}
}

// What is said of services and clients is to be had; a table of nothing has none.
func TestSaid(t *testing.T) {
	table, ok := NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: []byte(`{"contracts": [{"name":"c","aim":"1s","expiry":"2s","rank":1}],
		"services": [{"name":"b","connections":7},{"name":"a"},{"name":"z"}], "limits": {"body_bytes": 9},
		"ways": [{"name":"w","prefix":"/","split":[{"service":"b","weight":1},{"service":"a","weight":1}],"contract":"c"}]}`)})
	if !ok {
		t.Fatal("no table")
	}
	if s, ok := table.Service("b"); !ok || s.MaxConnections != 7 {
		t.Errorf("b: %+v", s)
	}
	if got := table.Services(); len(got) != 3 || table.Limits().MaxBodyBytes != 9 {
		t.Errorf("%v, %+v", got, table.Limits())
	}
	none, _ := NewTable(config.ControlState{})
	if _, ok := none.Service("b"); ok || none.Limits().IsDefined() || len(none.Services()) != 0 {
		t.Error("a table of nothing says something")
	}
	if _, _, ok := none.Match("x", "/", "GET"); ok {
		t.Error("a table of nothing matches")
	}
}
