package routing

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// backendSpec defines the zone of a backend and the duration of its attempts.
type backendSpec struct {
	zone    string
	latency time.Duration
}

// backendSpecs are the backends of a testSite by instance.
type backendSpecs = map[string]backendSpec

// testSite holds a view with the backends of one service, and their measured latencies.
type testSite struct {
	nodes     map[string]membership.Node
	latencies *LatencyTable
	view      *membership.View
	// crossZoneCost is the value of Conditions.CrossZoneCost.
	crossZoneCost float64
}

// newSite returns a site with one node for each backend and 20 observed attempts at each backend.
func newSite(backends backendSpecs) *testSite {
	s := &testSite{nodes: map[string]membership.Node{}, latencies: NewLatencyTable()}
	for name, backend := range backends {
		s.addNode(name, backend.zone)
	}
	for _, target := range s.view.Service("s") {
		s.observe(target, backends[target.Instance].latency)
	}
	return s
}

// addNode adds a node with one backend of capacity 4. Both have the given name.
func (s *testSite) addNode(name, zone string) {
	s.nodes[name] = membership.Node{Addr: name, Backends: []membership.Backend{{Instance: name, Service: "s", Zone: zone, Capacity: 4, CapacityShare: 1}}}
	s.view = membership.NewView(s.nodes, nil)
}

// observe records 20 attempts at a target.
func (s *testSite) observe(target membership.Target, took time.Duration) {
	for range 20 {
		s.latencies.Observe("w", target, took, false)
	}
}

// countChoices returns how many of 400 requests with the given time left and lateness budget go to
// each instance. Rejected requests are counted under "rejected".
func (s *testSite) countChoices(remaining, latenessBudget time.Duration) map[string]int {
	choices := map[string]int{}
	table, _ := NewTable(config.ControlState{})
	for seed := range uint64(400) {
		now := time.Now()
		d := Decision{
			Route: config.Route{Name: "w", Service: "s"}, Deadline: now.Add(remaining), Zone: "north", Rand: rand.New(rand.NewPCG(seed, 1)),
			Conditions: Conditions{
				TargetTime: now.Add(100 * time.Millisecond), MaxLateness: 900 * time.Millisecond, LatenessBudget: latenessBudget, CrossZoneCost: s.crossZoneCost,
				Latency: func(t membership.Target) LatencyHistogram { return s.latencies.Estimate("w", t) }, WithdrawRetry: func() bool { return true },
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

// TestSlowerBackends checks that a request with a lateness budget also uses slower backends, which
// leaves the fast ones to other requests. A request without a budget uses a fast backend unless
// that is full.
func TestSlowerBackends(t *testing.T) {
	s := newSite(backendSpecs{"slow": {"north", 200 * time.Millisecond}, "fast": {"north", 20 * time.Millisecond}})
	if got := s.countChoices(time.Second, 800*time.Millisecond); got["slow"] < 150 {
		t.Errorf("with a budget: got %v, want at least 150 requests at the slow backend", got)
	}
	if got := s.countChoices(time.Second, 0); got["slow"] > 0 {
		t.Errorf("without a budget: got %v, want none at the slow backend", got)
	}
	for _, target := range s.view.Service("s") {
		if target.Instance == "fast" {
			target.Load.Attempts.Add(5)
		}
	}
	if got := s.countChoices(time.Second, 0); got["slow"] < 400 {
		t.Errorf("with the fast backend full: got %v, want all requests at the slow backend", got)
	}
}

// TestCrossZone checks that a request leaves its zone only if this has a sufficient benefit. A
// request with a lateness budget stays in its zone. A request that would be late goes to a zone
// where it is in time.
func TestCrossZone(t *testing.T) {
	s := newSite(backendSpecs{"local": {"north", 200 * time.Millisecond}, "remote": {"south", 20 * time.Millisecond}})
	if got := s.countChoices(time.Second, 800*time.Millisecond); got["local"] != 400 {
		t.Errorf("with a budget: got %v, want all requests at the local backend", got)
	}
	if got := s.countChoices(time.Second, 0); got["remote"] != 400 {
		t.Errorf("without a budget: got %v, want all requests at the remote backend", got)
	}
	alike := newSite(backendSpecs{"local": {"north", 105 * time.Millisecond}, "remote": {"south", 101 * time.Millisecond}})
	if got := alike.countChoices(time.Second, 0); got["local"] != 400 {
		t.Errorf("with nearly equal latencies: got %v, want all requests at the local backend", got)
	}
}

// TestCrossZoneUnobserved checks that, with a cross-zone cost, a remote backend without
// observations is tried once the local backend is full and late. The route-wide estimate then comes
// from the local backend only, and would keep requests away from the remote one. A remote backend
// with observations is judged by these. (incident inc-ea11)
func TestCrossZoneUnobserved(t *testing.T) {
	const late, inTime = 200 * time.Millisecond, 20 * time.Millisecond
	for name, c := range map[string]struct {
		// inFlight is the number of open requests at the local backend, which has a capacity of 4.
		inFlight int64
		// remoteLatency is the observed latency of the remote backend, or 0 if there are no
		// observations.
		remoteLatency time.Duration
		want          string
	}{
		"remote when local is full and remote is not observed": {5, 0, "remote"},
		"local when not full":                             {1, 0, "local"},
		"local when full and remote is as late":           {5, late, "local"},
		"remote when local is full and remote is in time": {5, inTime, "remote"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(backendSpecs{"local": {"north", late}})
			s.crossZoneCost = 0.06
			s.addNode("remote", "south")
			for _, target := range s.view.Service("s") {
				if target.Instance == "local" {
					target.Load.Attempts.Add(c.inFlight)
				} else if c.remoteLatency > 0 {
					s.observe(target, c.remoteLatency)
				}
			}
			if got := s.countChoices(time.Second, 0); got[c.want] != 400 {
				t.Errorf("got %v, want all requests at the backend that the test name says", got)
			}
		})
	}
}

// TestUnlikelyToFinish checks that a request is rejected before any attempt if the time left is
// unlikely to suffice for its route. A few such requests are sent nevertheless, so that a wrong
// estimate is corrected. Otherwise a route that became fast again would be rejected until the
// observations have decayed.
func TestUnlikelyToFinish(t *testing.T) {
	s := newSite(backendSpecs{"local": {"north", 500 * time.Millisecond}, "remote": {"south", 500 * time.Millisecond}})
	if got := s.countChoices(time.Second, 0); got["rejected"] > 0 {
		t.Errorf("with enough time: got %v, want no rejections", got)
	}
	got := s.countChoices(100*time.Millisecond, 0)
	if sent := got["local"] + got["remote"]; got["rejected"] < 350 || sent == 0 {
		t.Errorf("with too little time: got %v, want at least 350 rejections and at least one attempt", got)
	}
	s.latencies.start = s.latencies.start.Add(-time.Minute) // the observations have decayed
	if got := s.countChoices(100*time.Millisecond, 0); got["rejected"] > 0 {
		t.Errorf("a minute later: got %v, want no rejections", got)
	}
}
