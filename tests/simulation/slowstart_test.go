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
	// slowStartCapacity is how many requests the backend can bear once it is warm.
	slowStartCapacity = 20
	// slowStartRamp is how long it takes to get warm, from a fifth of its capacity.
	slowStartRamp = 20 * time.Second
	// longestRun is the longest time that the backend works on a request.
	longestRun = 4 * time.Second
	// overrunFactor is how many times its present capacity the backend may run at most.
	overrunFactor = 1.5
)

// slowStart is a run of a backend that warms up behind a sidecar that is killed again and
// again, while requests come in bursts. The admission queue and the concurrency limit are
// the production's.
type slowStart struct {
	randomClock
	t        *testing.T
	seed     uint64
	base     time.Time
	table    *routing.Table
	endpoint endpoints.Endpoint
	running  int

	// The state of the sidecar's present incarnation.
	queue       *endpoints.AdmissionQueue
	incarnation int
	started     time.Duration
	waiting     map[uint64]func()

	kills, ran int
	highest    float64 // of running requests over the present capacity
}

// restart starts the sidecar with an empty queue. What runs at the backend goes on.
func (s *slowStart) restart() {
	s.queue, s.started, s.waiting = &endpoints.AdmissionQueue{}, s.now, map[uint64]func(){}
	s.incarnation++
}

// limit is the concurrency limit as of now, by the capacity share that the backend reports.
func (s *slowStart) limit() int64 {
	s.endpoint.CapacityShare = min(1, 0.2+0.8*float64(s.now)/float64(slowStartRamp))
	return s.endpoint.ConcurrencyLimit(1, s.table.EarlierRequestsMayRun(s.now-s.started), s.base.Add(s.now))
}

// apply starts the requests that the queue lets go, and drops those that it rejects.
func (s *slowStart) apply(transition endpoints.Transition) {
	for _, id := range transition.Started {
		s.waiting[id]()
		delete(s.waiting, id)
	}
	for _, id := range transition.Rejected {
		delete(s.waiting, id)
	}
}

// request asks the queue to admit a request.
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

// serve has the backend run a request for a while.
func (s *slowStart) serve(incarnation int) {
	s.running++
	s.ran++
	capacity := slowStartCapacity * s.endpoint.CapacityShare
	if s.highest = max(s.highest, float64(s.running)/capacity); float64(s.running) > overrunFactor*capacity+1 {
		s.t.Errorf("seed %d at %v: %d run, the backend can bear %.1f; repeat: go test ./tests/simulation -run %s -first %d -seeds 1", s.seed, s.now, s.running, capacity, s.t.Name(), s.seed)
	}
	took := longestRun - s.randomDuration(longestRun/4)
	s.after(took, func() {
		s.running--
		if s.incarnation == incarnation {
			s.apply(s.queue.Finish("w", took, s.limit(), s.now))
		}
	})
}

// burst sends requests all at once, again and again.
func (s *slowStart) burst() {
	for range s.rng.IntN(60) {
		s.request()
	}
	s.after(s.randomDuration(400*time.Millisecond), s.burst)
}

// kill kills the sidecar, again and again.
func (s *slowStart) kill() {
	s.kills++
	s.restart()
	s.after(longestRun+s.randomDuration(6*time.Second), s.kill)
}

// A cold backend that gets bursts of requests, and whose sidecar is killed again and again
// while its runs go on, never runs more than one and a half times what it can bear at that
// moment; in between it is used.
func TestSlowStartThroughKills(t *testing.T) {
	table, ok := routing.NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: []byte(`{"contracts": [{"name":"c","aim":"1s","expiry":"4s","rank":1}], "ways": [{"name":"w","prefix":"/","service":"s","contract":"c"}]}`)})
	if !ok {
		t.Fatal("no table")
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
	t.Logf("%d runs, %d kills, at most %.2f of what it could bear", ran, kills, highest)
	if ran == 0 || kills == 0 || highest < 1 {
		t.Error("the faults or the work did not come about")
	}
}
