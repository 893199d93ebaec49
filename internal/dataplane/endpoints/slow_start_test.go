package endpoints

import (
	"math/rand/v2"
	"testing"
	"time"
)

// However they come, in bursts or evenly, over no second are more let in than the rate;
// none in the first second after the sidecar's start; whoever comes back when it was
// told to is let in if nobody was before it; and what the rate leaves is not wasted.
func TestSlowStartLimiter(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 9))
		rate := []float64{0.5, 1, 1.9, 3, 12.5, 40}[rng.IntN(6)]
		began := time.Duration(rng.Int64N(int64(2 * time.Second))) // the desk's age at the start
		var d SlowStartLimiter
		var let []time.Duration
		for now := time.Duration(0); now < 20*time.Second; {
			switch rng.IntN(3) {
			case 0: // a burst
			case 1:
				now += time.Duration(rng.Int64N(int64(30 * time.Millisecond)))
			case 2:
				now += time.Duration(rng.Int64N(int64(400 * time.Millisecond)))
			}
			ok, back := d.Allow(rate, began+now, now)
			if ok {
				let = append(let, now)
				continue
			}
			if back <= 0 {
				t.Fatalf("seed %d: refused without a time to come back", seed)
			}
			if rng.IntN(4) == 0 {
				now += back
				if ok, _ := d.Allow(rate, began+now, now); !ok {
					t.Fatalf("seed %d: refused when it came back", seed)
				}
				let = append(let, now)
			}
		}
		most, over := max(1, int(rate)), time.Duration(float64(time.Second)/min(1, rate))
		if let[0] < over {
			t.Fatalf("seed %d: let in %v after the start", seed, let[0])
		}
		for i := most; i < len(let); i++ {
			if let[i]-let[i-most] <= over {
				t.Fatalf("seed %d: %d in %v", seed, most+1, let[i]-let[i-most])
			}
		}
		if want := int(12 * min(rate, float64(most))); rate <= 3 && len(let) < want/2 {
			t.Errorf("seed %d: only %d let in at %v a second", seed, len(let), rate)
		}
	}
}

// A cold backend tells others of the share that its rate comes to, until it is warm;
// a beat that says the same again changes nothing.
func TestScaleShares(t *testing.T) {
	begin := time.Now()
	say := func(r Registry, left string, at time.Duration) Registry {
		a := Announcement{Instance: "a", Service: "s", Address: "127.0.0.1:1", Capacity: 30}
		if left != "" {
			a.Warmup = &Warmup{Remaining: left}
		}
		r, faults := r.Announce(a, "north", begin.Add(at))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		return r.ScaleShares(func(string) float64 { return 20 }, begin.Add(at))
	}
	r := say(Registry{}, "5s", 0)
	if got := r.Backends()[0].CapacityShare; got != 0.2 {
		t.Errorf("cold: %v", got)
	}
	rev := r.Version
	r = say(r, "4.5s", 500*time.Millisecond)
	if r.Version != rev || r.Backends()[0].CapacityShare != 0.2 {
		t.Errorf("a beat changed it: %d, %v", r.Version-rev, r.Backends())
	}
	if e := r.Endpoints()[0]; !e.WarmingUp(begin.Add(4900*time.Millisecond)) || e.WarmingUp(begin.Add(5100*time.Millisecond)) {
		t.Error("it is cold for another time than it said")
	}
	r = r.ScaleShares(func(string) float64 { return 20 }, begin.Add(6*time.Second))
	if r.Backends()[0].CapacityShare != 1 || r.Version != rev+1 {
		t.Errorf("warm: %v", r.Backends())
	}
	r = say(r, "", 6500*time.Millisecond)
	if r.Version != rev+1 {
		t.Error("a warm beat changed it")
	}
	if _, faults := r.Announce(Announcement{Instance: "a", Service: "s", Address: "127.0.0.1:1", Capacity: 1, Warmup: &Warmup{Remaining: "-1s"}}, "north", begin); len(faults) != 1 {
		t.Errorf("faults: %v", faults)
	}
}
