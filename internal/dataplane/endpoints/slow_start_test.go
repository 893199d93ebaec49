package endpoints

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSlowStartLimiter checks, for requests that arrive in bursts or evenly, that no more requests
// than the rate are admitted in any second, and none in the first second after the start of the
// sidecar. A request that is retried at the returned time is admitted if no other request came
// first. Requests at low rates are not rejected needlessly.
func TestSlowStartLimiter(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 9))
			rate := []float64{0.5, 1, 1.9, 3, 12.5, 40}[rng.IntN(6)]
			admitted := admitAtRandom(t, rng, rate)
			burst, window := max(1, int(rate)), time.Duration(float64(time.Second)/min(1, rate))
			if admitted[0] < window {
				t.Fatalf("first request admitted %v after the start, want not before the end of the window", admitted[0])
			}
			for i := burst; i < len(admitted); i++ {
				if admitted[i]-admitted[i-burst] <= window {
					t.Fatalf("%d requests admitted in %v, want one less", burst+1, admitted[i]-admitted[i-burst])
				}
			}
			if want := int(12 * min(rate, float64(burst))); rate <= 3 && len(admitted) < want/2 {
				t.Errorf("got only %d requests admitted in 20 s at %v per second, want at least 6 times the smaller of the rate and the burst", len(admitted), rate)
			}
		})
	}
}

// admitAtRandom calls a limiter at random times for 20 s, and returns the times at which it
// admitted a request.
func admitAtRandom(t *testing.T, rng *rand.Rand, rate float64) (admitted []time.Duration) {
	t.Helper()
	startedAt := time.Duration(rng.Int64N(int64(2 * time.Second))) // start of the sidecar, by the clock of the limiter
	var limiter SlowStartLimiter
	for now := time.Duration(0); now < 20*time.Second; {
		switch rng.IntN(3) {
		case 0: // a burst
		case 1:
			now += time.Duration(rng.Int64N(int64(30 * time.Millisecond)))
		case 2:
			now += time.Duration(rng.Int64N(int64(400 * time.Millisecond)))
		}
		ok, retryAfter := limiter.Allow(rate, startedAt+now, now)
		if ok {
			admitted = append(admitted, now)
			continue
		}
		if retryAfter <= 0 {
			t.Fatal("request rejected without a retry time")
		}
		if rng.IntN(4) == 0 {
			now += retryAfter
			if ok, _ := limiter.Allow(rate, startedAt+now, now); !ok {
				t.Fatal("request rejected when retried at the returned time")
			}
			admitted = append(admitted, now)
		}
	}
	return admitted
}

// fixedWarmup is a WarmupPolicy with one rate for all services.
type fixedWarmup struct {
	rate      float64
	mayBeCold bool
}

func (f *fixedWarmup) WarmupRate(string) float64                { return f.rate }
func (f *fixedWarmup) MayBeCold(string, string, time.Time) bool { return f.mayBeCold }

// TestPossiblyColdShare checks that a backend that has announced itself as warm, but may be cold, is
// reported with the share of a backend that is warming up, as long as it may be cold.
func TestPossiblyColdShare(t *testing.T) {
	now := time.Now()
	policy := &fixedWarmup{rate: 20, mayBeCold: true}
	r, _ := Registry{}.Announce(Announcement{Instance: "a", Service: "s", Address: "127.0.0.1:1", Capacity: 30}, "north", now)
	if got := r.ScaleShares(policy, now).Backends()[0].CapacityShare; got != 0.2 {
		t.Errorf("got share %v while the backend may be cold, want 0.2", got)
	}
	policy.mayBeCold = false
	if got := r.ScaleShares(policy, now).Backends()[0].CapacityShare; got != 1 {
		t.Errorf("got share %v after that, want 1", got)
	}
}

// TestWarmRequestsCount guards against a backend that gets the full warm-up rate on top of what it got
// as a warm one, in the second in which it turns cold.
func TestWarmRequestsCount(t *testing.T) {
	const rate = 9.3
	for warm, wantAllowed := range map[int]int{0: 9, 4: 5, 9: 0, 40: 0} {
		var limiter SlowStartLimiter
		now := 10 * time.Second
		for range warm {
			limiter.Count(rate, now)
		}
		allowed := 0
		for range 20 {
			ok, retryAfter := limiter.Allow(rate, now+time.Millisecond, now)
			if ok {
				allowed++
			} else if retryAfter <= 0 {
				t.Fatal("request rejected without a retry time")
			}
		}
		if allowed != wantAllowed || len(limiter.admitted) > 9 {
			t.Errorf("after %d requests as a warm backend: %d allowed, %d remembered; want %d, and 9 at most", warm, allowed, len(limiter.admitted), wantAllowed)
		}
		if ok, _ := limiter.Allow(rate, now+2*time.Second, now); !ok {
			t.Errorf("after %d requests as a warm backend: rejected 2 s later", warm)
		}
	}
}

// TestScaleShares checks that a backend that is warming up is reported with the share that
// corresponds to the rate of its service, until it is warm, and that a heartbeat with unchanged
// content does not change the registry.
func TestScaleShares(t *testing.T) {
	begin := time.Now()
	twentyPerSecond := &fixedWarmup{rate: 20}
	announce := func(r Registry, remaining string, at time.Duration) Registry {
		t.Helper()
		a := Announcement{Instance: "a", Service: "s", Address: "127.0.0.1:1", Capacity: 30}
		if remaining != "" {
			a.Warmup = &Warmup{Remaining: remaining}
		}
		r, faults := r.Announce(a, "north", begin.Add(at))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		return r.ScaleShares(twentyPerSecond, begin.Add(at))
	}
	r := announce(Registry{}, "5s", 0)
	if got := r.Backends()[0].CapacityShare; got != 0.2 {
		t.Errorf("during the warm-up: got share %v, want 0.2", got)
	}
	version := r.Version
	r = announce(r, "4.5s", 500*time.Millisecond)
	if r.Version != version || r.Backends()[0].CapacityShare != 0.2 {
		t.Errorf("after a heartbeat without changes: got %d new versions and backends %v, want none and a share of 0.2", r.Version-version, r.Backends())
	}
	if e := r.Endpoints()[0]; !e.WarmingUp(begin.Add(4900*time.Millisecond)) || e.WarmingUp(begin.Add(5100*time.Millisecond)) {
		t.Error("the warm-up does not end at the announced time")
	}
	r = r.ScaleShares(twentyPerSecond, begin.Add(6*time.Second))
	if r.Backends()[0].CapacityShare != 1 || r.Version != version+1 {
		t.Errorf("after the warm-up: got %v, want share 1 in one new version", r.Backends())
	}
	r = announce(r, "", 6500*time.Millisecond)
	if r.Version != version+1 {
		t.Error("a heartbeat of the warm backend changed the version")
	}
	if _, faults := r.Announce(Announcement{Instance: "a", Service: "s", Address: "127.0.0.1:1", Capacity: 1, Warmup: &Warmup{Remaining: "-1s"}}, "north", begin); len(faults) != 1 {
		t.Errorf("negative remaining warm-up: got errors %v, want one", faults)
	}
}
