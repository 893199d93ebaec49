package endpoints

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSlowStartLimiter checks, for requests that arrive in bursts or evenly, that no more
// than the rate are admitted in any second, and none in the first second after the
// sidecar's start; that one which retries at the time it was given is admitted, if no other came
// first; and that low rates are not wasted.
func TestSlowStartLimiter(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 9))
			rate := []float64{0.5, 1, 1.9, 3, 12.5, 40}[rng.IntN(6)]
			admitted := admitAtRandom(t, rng, rate)
			burst, window := max(1, int(rate)), time.Duration(float64(time.Second)/min(1, rate))
			if admitted[0] < window {
				t.Fatalf("admitted %v after the start", admitted[0])
			}
			for i := burst; i < len(admitted); i++ {
				if admitted[i]-admitted[i-burst] <= window {
					t.Fatalf("%d admitted in %v", burst+1, admitted[i]-admitted[i-burst])
				}
			}
			if want := int(12 * min(rate, float64(burst))); rate <= 3 && len(admitted) < want/2 {
				t.Errorf("only %d admitted at %v a second", len(admitted), rate)
			}
		})
	}
}

// admitAtRandom asks a limiter at random times for 20 s, and returns when it admitted.
func admitAtRandom(t *testing.T, rng *rand.Rand, rate float64) (admitted []time.Duration) {
	t.Helper()
	startedAt := time.Duration(rng.Int64N(int64(2 * time.Second))) // of the sidecar, by the limiter's clock
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
			t.Fatal("rejected without a time to retry after")
		}
		if rng.IntN(4) == 0 {
			now += retryAfter
			if ok, _ := limiter.Allow(rate, startedAt+now, now); !ok {
				t.Fatal("rejected when it retried at the time it was given")
			}
			admitted = append(admitted, now)
		}
	}
	return admitted
}

// TestScaleShares checks that a backend that is warming up is reported with the share that
// its service's rate comes to, until it is warm, and that a heartbeat that says the same changes
// nothing.
func TestScaleShares(t *testing.T) {
	begin := time.Now()
	twentyASecond := func(string) float64 { return 20 }
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
		return r.ScaleShares(twentyASecond, begin.Add(at))
	}
	r := announce(Registry{}, "5s", 0)
	if got := r.Backends()[0].CapacityShare; got != 0.2 {
		t.Errorf("warming up: share %v", got)
	}
	version := r.Version
	r = announce(r, "4.5s", 500*time.Millisecond)
	if r.Version != version || r.Backends()[0].CapacityShare != 0.2 {
		t.Errorf("a heartbeat changed it: %d versions, %v", r.Version-version, r.Backends())
	}
	if e := r.Endpoints()[0]; !e.WarmingUp(begin.Add(4900*time.Millisecond)) || e.WarmingUp(begin.Add(5100*time.Millisecond)) {
		t.Error("it warms up for another time than it announced")
	}
	r = r.ScaleShares(twentyASecond, begin.Add(6*time.Second))
	if r.Backends()[0].CapacityShare != 1 || r.Version != version+1 {
		t.Errorf("warm: %v", r.Backends())
	}
	r = announce(r, "", 6500*time.Millisecond)
	if r.Version != version+1 {
		t.Error("a heartbeat of the warm backend changed it")
	}
	if _, faults := r.Announce(Announcement{Instance: "a", Service: "s", Address: "127.0.0.1:1", Capacity: 1, Warmup: &Warmup{Remaining: "-1s"}}, "north", begin); len(faults) != 1 {
		t.Errorf("faults: %v", faults)
	}
}
