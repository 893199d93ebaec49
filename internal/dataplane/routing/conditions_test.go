package routing

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// testSite is a view with places of a service, and what was learned of them.
type testSite struct {
	nodes     map[string]membership.Node
	latencies *LatencyTable
	view      *membership.View
	// crossZoneCost is Means.Crossing.
	crossZoneCost float64
}

// newSite makes places by instance: where they stand and how long attempts take.
func newSite(places map[string]struct {
	zone  string
	takes time.Duration
},
) *testSite {
	s := &testSite{nodes: map[string]membership.Node{}, latencies: NewLatencyTable()}
	for name, p := range places {
		s.nodes[name] = membership.Node{Addr: name, Backends: []membership.Backend{{Instance: name, Service: "s", Zone: p.zone, Capacity: 4, CapacityShare: 1}}}
	}
	s.view = membership.NewView(s.nodes, nil)
	for _, t := range s.view.Service("s") {
		for range 20 {
			s.latencies.Observe("w", t, places[t.Instance].takes, false)
		}
	}
	return s
}

// countChoices counts where requests go that have so much patience, and how many are
// refused.
func (s *testSite) countChoices(left, patience time.Duration) map[string]int {
	out := map[string]int{}
	table, _ := NewTable(config.ControlState{})
	for seed := range uint64(400) {
		now := time.Now()
		d := Decision{
			Route: config.Route{Name: "w", Service: "s"}, Deadline: now.Add(left), Zone: "north", Rand: rand.New(rand.NewPCG(seed, 1)),
			Conditions: Conditions{
				TargetTime: now.Add(100 * time.Millisecond), MaxLateness: 900 * time.Millisecond, LatenessBudget: patience, CrossZoneCost: s.crossZoneCost,
				Latency: func(t membership.Target) LatencyHistogram { return s.latencies.Estimate("w", t) }, SpendRetry: func() bool { return true },
			},
		}
		if action := d.Next(table, s.view, now); action.Kind == Send {
			out[action.Target.Instance]++
		} else if action.Failure.Status == http.StatusServiceUnavailable && action.Failure.Outcome == NotRun && action.Failure.RetryAfter >= time.Second {
			out["refused"]++
		}
	}
	return out
}

type backendSpecs = map[string]struct {
	zone  string
	takes time.Duration
}

// A contract with room uses slower places too and leaves quick ones to others;
// one that is short takes the quick ones as long as they are not full.
func TestSlowerPlaces(t *testing.T) {
	s := newSite(backendSpecs{"slow": {"north", 200 * time.Millisecond}, "quick": {"north", 20 * time.Millisecond}})
	if got := s.countChoices(time.Second, 800*time.Millisecond); got["slow"] < 150 {
		t.Errorf("with room: %v", got)
	}
	if got := s.countChoices(time.Second, 0); got["slow"] > 0 {
		t.Errorf("without room: %v", got)
	}
	for _, x := range s.view.Service("s") {
		if x.Instance == "quick" {
			x.Load.Attempts.Add(5)
		}
	}
	if got := s.countChoices(time.Second, 0); got["slow"] < 400 {
		t.Errorf("with the quick one full: %v", got)
	}
}

// Leaving the zone has its price: a contract with room stays, one that would
// be late goes to where it would not be.
func TestCrossing(t *testing.T) {
	s := newSite(backendSpecs{"near": {"north", 200 * time.Millisecond}, "far": {"south", 20 * time.Millisecond}})
	if got := s.countChoices(time.Second, 800*time.Millisecond); got["near"] != 400 {
		t.Errorf("with room: %v", got)
	}
	if got := s.countChoices(time.Second, 0); got["far"] != 400 {
		t.Errorf("without room: %v", got)
	}
	same := newSite(backendSpecs{"near": {"north", 105 * time.Millisecond}, "far": {"south", 101 * time.Millisecond}})
	if got := same.countChoices(time.Second, 0); got["near"] != 400 {
		t.Errorf("for next to nothing: %v", got)
	}
}

// Where crossing has its price, a place that nothing was learned of is tried once the
// own zone's is full and late: what was learned there says nothing of it. One that
// was learned of is judged by that. (incident inc-ea11)
func TestCrossingUnlearned(t *testing.T) {
	late, places := 200*time.Millisecond, backendSpecs{"near": {"north", 200 * time.Millisecond}}
	for name, c := range map[string]struct {
		open int64 // at near, of 4 places
		far  time.Duration
		want string
	}{
		"full, never tried": {5, 0, "far"},
		"not full":          {1, 0, "near"},
		"tried, as late":    {5, late, "near"},
		"tried, in time":    {5, 20 * time.Millisecond, "far"},
	} {
		s := newSite(places)
		s.crossZoneCost = 0.06
		s.nodes["far"] = membership.Node{Addr: "far", Backends: []membership.Backend{{Instance: "far", Service: "s", Zone: "south", Capacity: 4, CapacityShare: 1}}}
		s.view = membership.NewView(s.nodes, nil)
		for _, x := range s.view.Service("s") {
			if x.Instance == "near" {
				x.Load.Attempts.Add(c.open)
			} else if c.far > 0 {
				for range 20 {
					s.latencies.Observe("w", x, c.far, false)
				}
			}
		}
		if got := s.countChoices(time.Second, 0); got[c.want] != 400 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// When the time left hardly covers what a way takes, it is refused before any
// attempt, not run; a trickle still goes, so that a wrong lesson heals.
func TestVain(t *testing.T) {
	s := newSite(backendSpecs{"near": {"north", 500 * time.Millisecond}, "far": {"south", 500 * time.Millisecond}})
	if got := s.countChoices(time.Second, 0); got["refused"] > 0 {
		t.Errorf("in time: %v", got)
	}
	got := s.countChoices(100*time.Millisecond, 0)
	if sent := got["near"] + got["far"]; got["refused"] < 350 || sent == 0 {
		t.Errorf("out of time: %v", got)
	}
	s.latencies.start = s.latencies.start.Add(-time.Minute) // what was learned has aged
	if got := s.countChoices(100*time.Millisecond, 0); got["refused"] > 0 {
		t.Errorf("a minute later: %v", got)
	}
}
