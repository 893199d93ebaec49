package routing

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// backendSpec is where a backend runs, and how long its attempts take.
type backendSpec struct {
	zone  string
	takes time.Duration
}

// backendSpecs are the backends of a testSite, by instance.
type backendSpecs = map[string]backendSpec

// testSite is a view with backends of one service, and what was learned of their latency.
type testSite struct {
	nodes     map[string]membership.Node
	latencies *LatencyTable
	view      *membership.View
	// crossZoneCost is Conditions.CrossZoneCost.
	crossZoneCost float64
}

// newSite makes a site whose backends each have a node of their own, and 20 attempts learned.
func newSite(backends backendSpecs) *testSite {
	s := &testSite{nodes: map[string]membership.Node{}, latencies: NewLatencyTable()}
	for name, backend := range backends {
		s.addNode(name, backend.zone)
	}
	for _, target := range s.view.Service("s") {
		s.learn(target, backends[target.Instance].takes)
	}
	return s
}

// addNode adds a node with one backend of capacity 4, both of that name.
func (s *testSite) addNode(name, zone string) {
	s.nodes[name] = membership.Node{Addr: name, Backends: []membership.Backend{{Instance: name, Service: "s", Zone: zone, Capacity: 4, CapacityShare: 1}}}
	s.view = membership.NewView(s.nodes, nil)
}

// learn observes 20 attempts at a target.
func (s *testSite) learn(target membership.Target, took time.Duration) {
	for range 20 {
		s.latencies.Observe("w", target, took, false)
	}
}

// countChoices counts where 400 requests go that have so much time left and such a lateness
// budget, by instance; those that are rejected count as "rejected".
func (s *testSite) countChoices(remaining, latenessBudget time.Duration) map[string]int {
	choices := map[string]int{}
	table, _ := NewTable(config.ControlState{})
	for seed := range uint64(400) {
		now := time.Now()
		d := Decision{
			Route: config.Route{Name: "w", Service: "s"}, Deadline: now.Add(remaining), Zone: "north", Rand: rand.New(rand.NewPCG(seed, 1)),
			Conditions: Conditions{
				TargetTime: now.Add(100 * time.Millisecond), MaxLateness: 900 * time.Millisecond, LatenessBudget: latenessBudget, CrossZoneCost: s.crossZoneCost,
				Latency: func(t membership.Target) LatencyHistogram { return s.latencies.Estimate("w", t) }, SpendRetry: func() bool { return true },
			},
		}
		if action := d.Next(table, s.view, now); action.Kind == Send {
			choices[action.Target.Instance]++
		} else if action.Failure.Status == http.StatusServiceUnavailable && action.Failure.Outcome == NotRun && action.Failure.RetryAfter >= time.Second {
			choices["rejected"]++
		}
	}
	return choices
}

// A request with a lateness budget uses slower backends too and leaves the fast ones to others;
// one without takes the fast ones as long as they are not full.
func TestSlowerBackends(t *testing.T) {
	s := newSite(backendSpecs{"slow": {"north", 200 * time.Millisecond}, "fast": {"north", 20 * time.Millisecond}})
	if got := s.countChoices(time.Second, 800*time.Millisecond); got["slow"] < 150 {
		t.Errorf("with a budget: %v", got)
	}
	if got := s.countChoices(time.Second, 0); got["slow"] > 0 {
		t.Errorf("without a budget: %v", got)
	}
	for _, target := range s.view.Service("s") {
		if target.Instance == "fast" {
			target.Load.Attempts.Add(5)
		}
	}
	if got := s.countChoices(time.Second, 0); got["slow"] < 400 {
		t.Errorf("with the fast one full: %v", got)
	}
}

// Leaving the zone has its cost: a request with a lateness budget stays, one that would be late
// goes to where it would not be.
func TestCrossZone(t *testing.T) {
	s := newSite(backendSpecs{"local": {"north", 200 * time.Millisecond}, "remote": {"south", 20 * time.Millisecond}})
	if got := s.countChoices(time.Second, 800*time.Millisecond); got["local"] != 400 {
		t.Errorf("with a budget: %v", got)
	}
	if got := s.countChoices(time.Second, 0); got["remote"] != 400 {
		t.Errorf("without a budget: %v", got)
	}
	alike := newSite(backendSpecs{"local": {"north", 105 * time.Millisecond}, "remote": {"south", 101 * time.Millisecond}})
	if got := alike.countChoices(time.Second, 0); got["local"] != 400 {
		t.Errorf("for next to nothing: %v", got)
	}
}

// With a cross-zone cost, a remote backend of which nothing was learned is tried once the own
// zone's is full and late: what was learned there says nothing of it. One of which something was
// learned is judged by that. (incident inc-ea11)
func TestCrossZoneUnlearned(t *testing.T) {
	const late, inTime = 200 * time.Millisecond, 20 * time.Millisecond
	for name, c := range map[string]struct {
		// inFlight is how many requests the local backend has, of a capacity of 4.
		inFlight int64
		// remoteTakes is the learned latency of the remote backend; 0 if nothing was learned.
		remoteTakes time.Duration
		want        string
	}{
		"full, never tried": {5, 0, "remote"},
		"not full":          {1, 0, "local"},
		"tried, as late":    {5, late, "local"},
		"tried, in time":    {5, inTime, "remote"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(backendSpecs{"local": {"north", late}})
			s.crossZoneCost = 0.06
			s.addNode("remote", "south")
			for _, target := range s.view.Service("s") {
				if target.Instance == "local" {
					target.Load.Attempts.Add(c.inFlight)
				} else if c.remoteTakes > 0 {
					s.learn(target, c.remoteTakes)
				}
			}
			if got := s.countChoices(time.Second, 0); got[c.want] != 400 {
				t.Errorf("%v", got)
			}
		})
	}
}

// A request whose time left hardly covers what its route takes is rejected before any attempt;
// a few are sent all the same, so that what was learned wrongly is corrected.
func TestUnlikelyToFinish(t *testing.T) {
	s := newSite(backendSpecs{"local": {"north", 500 * time.Millisecond}, "remote": {"south", 500 * time.Millisecond}})
	if got := s.countChoices(time.Second, 0); got["rejected"] > 0 {
		t.Errorf("with time enough: %v", got)
	}
	got := s.countChoices(100*time.Millisecond, 0)
	if sent := got["local"] + got["remote"]; got["rejected"] < 350 || sent == 0 {
		t.Errorf("with too little time: %v", got)
	}
	s.latencies.start = s.latencies.start.Add(-time.Minute) // what was learned has decayed
	if got := s.countChoices(100*time.Millisecond, 0); got["rejected"] > 0 {
		t.Errorf("a minute later: %v", got)
	}
}
