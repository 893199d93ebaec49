package simulation

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
)

const (
	// slowStartCapacity is how many concurrent requests the backend can handle once warm.
	slowStartCapacity = 20
	// slowStartRamp is how long the backend takes to warm up from a fifth of its capacity.
	slowStartRamp = 20 * time.Second
	// maxServiceTime is the maximum time that the backend takes to process a request.
	maxServiceTime = 4 * time.Second
	// overloadFactor is the maximum ratio of running requests to the current capacity.
	overloadFactor = 1.5
)

// slowStart simulates a backend that warms up behind a sidecar that is killed repeatedly, while
// requests arrive in bursts. The admission queue and the concurrency limit are production code.
type slowStart struct {
	randomClock
	t        *testing.T
	seed     uint64
	base     time.Time
	table    *routing.Table
	endpoint endpoints.Endpoint
	running  int

	// State of the sidecar's current incarnation.
	queue       *endpoints.AdmissionQueue
	incarnation int
	started     time.Duration
	waiting     map[uint64]func()

	kills, ran int
	highest    float64 // highest ratio of running requests to the current capacity
}

// restart starts the sidecar with an empty queue. The backend keeps processing its requests.
func (s *slowStart) restart() {
	s.queue, s.started, s.waiting = &endpoints.AdmissionQueue{}, s.now, map[uint64]func(){}
	s.incarnation++
}

// limit updates the capacity share that the backend reports and returns the current concurrency
// limit.
func (s *slowStart) limit() int64 {
	s.endpoint.CapacityShare = min(1, 0.2+0.8*float64(s.now)/float64(slowStartRamp))
	return s.endpoint.ConcurrencyLimit(1, s.table.EarlierRequestsMayRun(s.now-s.started), s.base.Add(s.now))
}

// apply starts the requests that the queue has admitted and drops those that it has rejected.
func (s *slowStart) apply(transition endpoints.Transition) {
	for _, id := range transition.Started {
		s.waiting[id]()
		delete(s.waiting, id)
	}
	for _, id := range transition.Rejected {
		delete(s.waiting, id)
	}
}

// request submits a request to the queue.
func (s *slowStart) request() {
	incarnation := s.incarnation
	run := func() { s.serve(incarnation) }
	enqueued := s.queue.Enqueue(endpoints.QueueRequest{Priority: 1 + s.rng.IntN(3), Route: "w", Remaining: 4 * time.Second}, s.limit(), s.now)
	switch enqueued.Decision {
	case endpoints.Start:
		run()
	case endpoints.Wait:
		s.waiting[enqueued.ID] = run
	}
	s.apply(enqueued.Transition)
}

// serve runs a request at the backend and checks the number of running requests against the
// current capacity.
func (s *slowStart) serve(incarnation int) {
	s.running++
	s.ran++
	capacity := slowStartCapacity * s.endpoint.CapacityShare
	if s.highest = max(s.highest, float64(s.running)/capacity); float64(s.running) > overloadFactor*capacity+1 {
		s.t.Errorf("seed %d at %v: got %d running requests with a capacity of %.1f, want at most 1.5 times the capacity plus 1; repeat: go test ./tests/simulation -run %s -first %d -seeds 1", s.seed, s.now, s.running, capacity, s.t.Name(), s.seed)
	}
	took := maxServiceTime - s.randomDuration(maxServiceTime/4)
	s.after(took, func() {
		s.running--
		if s.incarnation == incarnation {
			s.apply(s.queue.Finish("w", took, s.limit(), s.now))
		}
	})
}

// burst submits up to 59 requests at once, and schedules the next burst.
func (s *slowStart) burst() {
	for range s.rng.IntN(60) {
		s.request()
	}
	s.after(s.randomDuration(400*time.Millisecond), s.burst)
}

// kill restarts the sidecar and schedules the next kill.
func (s *slowStart) kill() {
	s.kills++
	s.restart()
	s.after(maxServiceTime+s.randomDuration(6*time.Second), s.kill)
}

// TestSlowStartThroughKills guards against overload of a cold backend after its sidecar restarts. A
// restarted sidecar does not know which requests of its earlier incarnation are still running at
// the backend. With bursts of requests and repeated kills, the backend must never run more than 1.5
// times its current capacity plus one request. The number of running requests must reach the
// current capacity at least once.
func TestSlowStartThroughKills(t *testing.T) {
	table, ok := routing.NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: []byte(`{"contracts": [{"name":"c","aim":"1s","expiry":"4s","rank":1}], "ways": [{"name":"w","prefix":"/","service":"s","contract":"c"}]}`)})
	if !ok {
		t.Fatal("the routing table was not built from the configuration")
	}
	kills, ran, highest := 0, 0, 0.0
	forEachSeed(func(seed uint64) {
		if t.Failed() {
			return
		}
		base := time.Now()
		sim := &slowStart{
			randomClock: newRandomClock(seed, 29), t: t, seed: seed, base: base, table: table,
			endpoint: endpoints.Endpoint{Backend: membership.Backend{Capacity: slowStartCapacity, CapacityShare: 0.2}, LastHeartbeat: base},
		}
		sim.restart()
		sim.after(0, sim.burst)
		sim.after(sim.randomDuration(6*time.Second), sim.kill)
		sim.run(40 * time.Second)
		kills, ran, highest = kills+sim.kills, ran+sim.ran, max(highest, sim.highest)
	})
	t.Logf("%d runs, %d kills, at most %.2f times the current capacity", ran, kills, highest)
	if ran == 0 || kills == 0 || highest < 1 {
		t.Error("no run, no kill, or the backend never reached its capacity")
	}
}
