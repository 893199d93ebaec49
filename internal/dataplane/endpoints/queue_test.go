package endpoints

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Under seeded overload, with limits that change: never more run than the limit
// let in, nobody is let in past the time in which it could be served, and a
// lower rank is never let in while a higher one waits.
func TestAdmissionQueue(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 5))
		var l AdmissionQueue
		type bid struct {
			rank   int
			giveUp time.Duration
		}
		waiting := map[uint64]bid{}
		var ends []time.Duration
		ran, refused, waited := 0, 0, 0
		limit := int64(4)
		take := func(transition Transition, now time.Duration) {
			for _, id := range transition.Started {
				b := waiting[id]
				delete(waiting, id)
				if now > b.giveUp {
					t.Fatalf("seed %d: let in %v after it could be served", seed, now-b.giveUp)
				}
				for _, o := range waiting {
					if o.rank < b.rank {
						t.Fatalf("seed %d: rank %d let in while rank %d waits", seed, b.rank, o.rank)
					}
				}
				ends = append(ends, now+time.Duration(rng.Int64N(int64(40*time.Millisecond))))
				ran++
				waited++
			}
			for _, id := range transition.Rejected {
				delete(waiting, id)
				refused++
			}
			if len(transition.Started) > 0 && int64(len(ends)) > limit {
				t.Fatalf("seed %d: %d run under a limit of %d", seed, len(ends), limit)
			}
		}
		for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
			if rng.IntN(200) == 0 {
				limit = 1 + rng.Int64N(6)
			}
			kept := ends[:0]
			over := 0
			for _, e := range ends {
				if e <= now {
					over++
				} else {
					kept = append(kept, e)
				}
			}
			ends = kept
			for range over {
				take(l.Finish("w", 20*time.Millisecond, limit, now), now)
			}
			if rng.IntN(3) > 0 {
				request := QueueRequest{Priority: 1 + rng.IntN(3), Route: "w", Remaining: time.Duration(rng.Int64N(int64(150 * time.Millisecond)))}
				v, id, back, transition := l.Enqueue(request, limit, now)
				switch v {
				case Start:
					if int64(len(ends)) >= limit {
						t.Fatalf("seed %d: let in beyond the limit", seed)
					}
					ends = append(ends, now+20*time.Millisecond)
					ran++
				case Wait:
					waiting[id] = bid{rank: request.Priority, giveUp: now + request.Remaining}
				case Reject:
					refused++
					if l.meanDuration > 0 && back <= 0 {
						t.Fatalf("seed %d: refused without a time to come back", seed)
					}
				}
				take(transition, now)
			}
			if l.Len() != int64(len(ends)+len(waiting)) {
				t.Fatalf("seed %d: the line counts %d, there are %d and %d", seed, l.Len(), len(ends), len(waiting))
			}
		}
		if ran == 0 || refused == 0 || waited == 0 {
			t.Errorf("seed %d: ran %d, refused %d, waited %d", seed, ran, refused, waited)
		}
	}
}

// One who can only be late stands aside, behind all who can be in time, whatever their
// rank, and is let in as long as it is worth something; who says that late is worth
// nothing is refused at once. Within a rank, who has to begin first goes first.
func TestOverdueWaiters(t *testing.T) {
	const ms = time.Millisecond
	var l AdmissionQueue
	bid := func(rank int, left, last time.Duration, now time.Duration) (QueueDecision, uint64) {
		v, id, _, transition := l.Enqueue(QueueRequest{Priority: rank, Route: "w", Remaining: left, LateRemaining: last}, 1, now)
		if len(transition.Started) > 0 || len(transition.Rejected) > 0 {
			t.Errorf("asking shifted %+v", transition)
		}
		return v, id
	}
	bid(1, ms, 0, 0)
	l.Finish("w", 100*ms, 1, 0) // a run takes 100 ms
	if v, _ := bid(1, 100*ms, 0, 0); v != Start {
		t.Fatal("the first does not run")
	}
	if v, _ := bid(1, 150*ms, 0, 0); v != Reject {
		t.Error("one that can't be in time waits")
	}
	_, late := bid(1, 150*ms, 900*ms, 0)
	_, soon := bid(2, 500*ms, 900*ms, 0)
	_, sooner := bid(2, 400*ms, 900*ms, 0)
	_, dead := bid(3, 10*ms, 810*ms, 0)
	if l.Len() != 5 {
		t.Errorf("%d stand in line", l.Len())
	}
	var order []uint64
	for now := 150 * ms; now <= 750*ms; now += 150 * ms {
		transition := l.Finish("w", 100*ms, 1, now)
		order = append(order, transition.Started...)
		for _, id := range transition.Rejected {
			if id != dead || now <= 405*ms {
				t.Errorf("%d was refused at %v", id, now)
			}
		}
	}
	if v, _ := bid(3, 10*ms, 40*ms, 750*ms); v != Start {
		t.Error("an empty line refuses")
	}
	if want := []uint64{sooner, soon, late}; !slices.Equal(order, want) {
		t.Errorf("ran %v, want %v", order, want)
	}
}

// Within a rank a short run goes before a long one, though that has to begin first.
func TestShortRunsFirst(t *testing.T) {
	const ms = time.Millisecond
	var l AdmissionQueue
	for _, r := range []struct {
		route string
		took  time.Duration
	}{{"short", 40 * ms}, {"long", 200 * ms}} {
		l.Enqueue(QueueRequest{Priority: 1, Route: r.route, Remaining: time.Second}, 1, 0)
		l.Finish(r.route, r.took, 1, 0)
	}
	l.Enqueue(QueueRequest{Priority: 1, Route: "long", Remaining: time.Second}, 1, 0)
	_, long, _, _ := l.Enqueue(QueueRequest{Priority: 1, Route: "long", Remaining: 700 * ms}, 1, 0)
	_, short, _, _ := l.Enqueue(QueueRequest{Priority: 1, Route: "short", Remaining: 900 * ms}, 1, 0)
	_, first, _, _ := l.Enqueue(QueueRequest{Priority: 0, Route: "long", Remaining: 900 * ms}, 1, 0)
	var order []uint64
	for range 3 {
		order = append(order, l.Finish("long", 200*ms, 1, 100*ms).Started...)
	}
	if want := []uint64{first, short, long}; !slices.Equal(order, want) {
		t.Errorf("ran %v, want %v", order, want)
	}
}

// A run that was stopped frees its place, and nothing is learned of it.
func TestCancelFreesSlot(t *testing.T) {
	const ms = time.Millisecond
	var l AdmissionQueue
	l.Finish("w", 100*ms, 1, 0)
	l.running = 0
	mean, cost := l.meanDuration, l.durations["w"]
	bid := QueueRequest{Route: "w", Remaining: time.Second}
	if v, _, _, _ := l.Enqueue(bid, 1, 0); v != Start {
		t.Fatalf("the first: %v", v)
	}
	v, second, _, _ := l.Enqueue(bid, 1, 0)
	if v != Wait {
		t.Fatalf("the second: %v", v)
	}
	if transition := l.Cancel(1, ms); len(transition.Started) != 1 || transition.Started[0] != second || l.Len() != 1 {
		t.Errorf("%+v, %d in all", transition, l.Len())
	}
	if l.meanDuration != mean || l.durations["w"] != cost {
		t.Errorf("it learned %v %+v, had %v %+v", l.meanDuration, l.durations["w"], mean, cost)
	}
}
