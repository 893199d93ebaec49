package causality

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"curlewwalk/internal/trace"
)

var requestsPerRun = flag.Int("runs", 3000, "inquiries in a run of TestShareRight")

type step struct {
	at time.Duration
	do func()
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at < s[j].at }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	x := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return x
}

// inferenceAccuracy runs a backend with a number of slots always busy: two ways with a
// call each, of another way, at a time that varies threefold. It gives the
// share of calls that were tied to their true cause.
func inferenceAccuracy(seed uint64, slots int) (right float64, provenWrong int) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var queue steps
	b := NewCorrelator()
	base := time.Now()
	var now time.Duration
	after := func(d time.Duration, do func()) { heap.Push(&queue, step{now + d, do}) }
	made, good, left := 0, 0, *requestsPerRun
	var begin func()
	begin = func() {
		if left--; left < 0 {
			return
		}
		route, call, work, inner := "place", "take", 30*time.Millisecond, 15*time.Millisecond
		if rng.IntN(7) < 3 {
			route, call, work, inner = "read", "look", 10*time.Millisecond, 5*time.Millisecond
		}
		vary := func(d time.Duration) time.Duration { return d/2 + time.Duration(rng.Int64N(int64(d))) }
		total := vary(work)
		s := trace.Root()
		b.Begin(OpenRequest{Span: s, Service: "orders", Route: route, StartedAt: base.Add(now), Deadline: base.Add(now + time.Minute)})
		after(total/2, func() {
			c := b.Link("orders", call, trace.Span{}, base.Add(now))
			made++
			if c.Parent.ID == s.ID {
				good++
			} else if c.Link == trace.LinkProven {
				provenWrong++
			}
			after(vary(inner)+total/2, func() {
				b.End(s.ID)
				begin()
			})
		})
	}
	for range slots {
		after(time.Duration(rng.Int64N(int64(40*time.Millisecond))), begin)
	}
	for len(queue) > 0 {
		st := heap.Pop(&queue).(step)
		now = st.at
		st.do()
	}
	return float64(good) / float64(made), provenWrong
}

// How many calls are tied to their true cause when nothing is passed along, by
// how many requests the backend works on at a time.
func TestInferenceAccuracy(t *testing.T) {
	for _, c := range []struct {
		slots int
		least float64
	}{{1, 1}, {2, 0.88}, {4, 0.7}, {9, 0.33}} {
		sum := 0.0
		for seed := range uint64(5) {
			right, provenWrong := inferenceAccuracy(seed, c.slots)
			sum += right / 5
			if provenWrong > 0 {
				t.Errorf("%d slots: %d wrong links were called proven", c.slots, provenWrong)
			}
		}
		t.Logf("%d slots busy: %.1f%% right", c.slots, 100*sum)
		if sum < c.least {
			t.Errorf("%d slots busy: %.3f right, below %.3f", c.slots, sum, c.least)
		}
	}
}

// A call with several likely causes gets the latest of their deadlines, so that a
// wrong link fails no call that has time left, and the highest of their ranks.
func TestLatestDeadline(t *testing.T) {
	b, now := NewCorrelator(), time.Now()
	soon, late := trace.Root(), trace.Root()
	b.Begin(OpenRequest{Span: soon, Service: "s", Route: "w", Priority: 3, StartedAt: now, Deadline: now.Add(10 * time.Millisecond)})
	b.Begin(OpenRequest{Span: late, Service: "s", Route: "w", Priority: 1, StartedAt: now, Deadline: now.Add(time.Second)})
	c := b.Link("s", "call", trace.Span{}, now.Add(time.Millisecond))
	if !c.Deadline.Equal(now.Add(time.Second)) || c.Priority != 1 || len(c.Candidates) != 2 {
		t.Errorf("%+v", c)
	}
	if c := b.Link("s", "call", soon, now); !c.Deadline.Equal(now.Add(10*time.Millisecond)) || c.Priority != 3 || c.Link != trace.LinkProven {
		t.Errorf("proven: %+v", c)
	}
}
