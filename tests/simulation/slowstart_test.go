package simulation

import (
	"math/rand/v2"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
)

// A cold backend with everybody coming at once, whose sidecar is killed again and
// again while its runs go on, never runs more than one and a half times what it
// can bear at that moment; in between it is used.
func TestSlowStartThroughKills(t *testing.T) {
	table, ok := routing.NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: []byte(`{"contracts": [{"name":"c","aim":"1s","expiry":"4s","rank":1}], "ways": [{"name":"w","prefix":"/","service":"s","contract":"c"}]}`)})
	if !ok {
		t.Fatal("no table")
	}
	const longest = 4 * time.Second
	kills, ran, most := 0, 0, 0.0
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		rng := rand.New(rand.NewPCG(seed, 29))
		base := time.Now()
		var q clock
		some := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d) + 1)) }
		e := endpoints.Endpoint{Backend: membership.Backend{Capacity: 20, CapacityShare: 0.2}, LastHeartbeat: base}
		running := 0
		var line *endpoints.AdmissionQueue
		var life int
		var since time.Duration
		waiting := map[uint64]func(){}
		limit := func() int64 {
			// It says every half second how warm it is: all of it after 20 s.
			e.CapacityShare = min(1, 0.2+0.8*float64(q.now)/float64(20*time.Second))
			return e.ConcurrencyLimit(1, table.EarlierRunsPossible(q.now-since), base.Add(q.now))
		}
		incarnation := func() { line, since, waiting = &endpoints.AdmissionQueue{}, q.now, map[uint64]func(){}; life++ }
		incarnation()
		shift := func(s endpoints.Transition) {
			for _, id := range s.Started {
				waiting[id]()
				delete(waiting, id)
			}
			for _, id := range s.Rejected {
				delete(waiting, id)
			}
		}
		request := func() {
			own := life
			run := func() {
				running++
				ran++
				capacity := 20 * e.CapacityShare
				if most = max(most, float64(running)/capacity); float64(running) > 1.5*capacity+1 {
					t.Errorf("seed %d at %v: %d run, it can bear %.1f; replay: go test ./tests/simulation -run TestColdThroughKills -first %d -seeds 1", seed, q.now, running, capacity, seed)
				}
				started := longest - some(longest/4)
				q.after(started, func() {
					running--
					if life == own {
						shift(line.Finish("w", started, limit(), q.now))
					}
				})
			}
			enqueued := line.Enqueue(endpoints.QueueRequest{Priority: 1 + rng.IntN(3), Route: "w", Remaining: 4 * time.Second}, limit(), q.now)
			switch enqueued.Decision {
			case endpoints.Start:
				run()
			case endpoints.Wait:
				waiting[enqueued.ID] = run
			}
			shift(enqueued.Transition)
		}
		var burst, kill func()
		burst = func() {
			for range rng.IntN(60) {
				request()
			}
			q.after(some(400*time.Millisecond), burst)
		}
		kill = func() {
			kills++
			incarnation()
			q.after(longest+some(6*time.Second), kill)
		}
		q.after(0, burst)
		q.after(some(6*time.Second), kill)
		q.run(40 * time.Second)
		if t.Failed() {
			break
		}
	}
	t.Logf("%d runs, %d kills, at most %.2f of what it could bear", ran, kills, most)
	if ran == 0 || kills == 0 || most < 1 {
		t.Error("the failures or the work did not come about")
	}
}
