package causality

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"curlewwalk/internal/trace"
)

var requestsPerRun = flag.Int("runs", 3000, "requests in a run of TestInferenceAccuracy")

// event is what a simulated backend does at a time.
type event struct {
	at time.Duration
	do func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// accuracy counts the calls of a run of a simulated backend.
type accuracy struct{ calls, right, wrongProven int }

// inferenceAccuracy runs a backend that always processes a number of requests at a time, of
// two routes, each of which makes a call by another route, at a time that varies threefold.
func inferenceAccuracy(seed uint64, concurrency int) (counts accuracy) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var queue eventQueue
	correlator := NewCorrelator()
	base := time.Now()
	var now time.Duration
	after := func(d time.Duration, do func()) { heap.Push(&queue, event{now + d, do}) }
	vary := func(d time.Duration) time.Duration { return d/2 + time.Duration(rng.Int64N(int64(d))) }
	left := *requestsPerRun
	var begin func()
	begin = func() {
		if left--; left < 0 {
			return
		}
		route, call, duration, callDuration := "place", "take", 30*time.Millisecond, 15*time.Millisecond
		if rng.IntN(7) < 3 {
			route, call, duration, callDuration = "read", "look", 10*time.Millisecond, 5*time.Millisecond
		}
		work := vary(duration)
		span := trace.Root()
		correlator.Begin(OpenRequest{Span: span, Service: "orders", Route: route, StartedAt: base.Add(now), Deadline: base.Add(now + time.Minute)})
		after(work/2, func() {
			cause := correlator.Link("orders", call, trace.Span{}, base.Add(now))
			counts.calls++
			if cause.Parent.ID == span.ID {
				counts.right++
			} else if cause.Link == trace.LinkProven {
				counts.wrongProven++
			}
			after(vary(callDuration)+work/2, func() {
				correlator.End(span.ID)
				begin()
			})
		})
	}
	for range concurrency {
		after(time.Duration(rng.Int64N(int64(40*time.Millisecond))), begin)
	}
	for len(queue) > 0 {
		next := heap.Pop(&queue).(event)
		now = next.at
		next.do()
	}
	return counts
}

// TestInferenceAccuracy checks how many calls are linked to their true cause, by how many
// requests the backend processes at a time, and that no wrong link is called proven.
func TestInferenceAccuracy(t *testing.T) {
	for _, c := range []struct {
		concurrency int
		least       float64
	}{{1, 1}, {2, 0.88}, {4, 0.7}, {9, 0.33}} {
		t.Run(fmt.Sprint(c.concurrency, " at a time"), func(t *testing.T) {
			right := 0.0
			for seed := range uint64(5) {
				counts := inferenceAccuracy(seed, c.concurrency)
				right += float64(counts.right) / float64(counts.calls) / 5
				if counts.wrongProven > 0 {
					t.Errorf("%d wrong links were called proven", counts.wrongProven)
				}
			}
			t.Logf("%.1f%% right", 100*right)
			if right < c.least {
				t.Errorf("%.3f right, below %.3f", right, c.least)
			}
		})
	}
}

// TestLatestDeadline checks that a call with several likely causes gets the latest of their
// deadlines and the highest of their priorities, and a call with a proven cause those of
// the cause.
func TestLatestDeadline(t *testing.T) {
	correlator, now := NewCorrelator(), time.Now()
	early, late := trace.Root(), trace.Root()
	correlator.Begin(OpenRequest{Span: early, Service: "s", Route: "w", Priority: 3, StartedAt: now, Deadline: now.Add(10 * time.Millisecond)})
	correlator.Begin(OpenRequest{Span: late, Service: "s", Route: "w", Priority: 1, StartedAt: now, Deadline: now.Add(time.Second)})
	cause := correlator.Link("s", "call", trace.Span{}, now.Add(time.Millisecond))
	if !cause.Deadline.Equal(now.Add(time.Second)) || cause.Priority != 1 || len(cause.Candidates) != 2 {
		t.Errorf("inferred: %+v", cause)
	}
	cause = correlator.Link("s", "call", early, now)
	if !cause.Deadline.Equal(now.Add(10*time.Millisecond)) || cause.Priority != 3 || cause.Link != trace.LinkProven {
		t.Errorf("proven: %+v", cause)
	}
}
