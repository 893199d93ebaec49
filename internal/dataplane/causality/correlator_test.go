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

// event is an action of a simulated backend at a point in time.
type event struct {
	at time.Duration
	do func()
}

// eventQueue is a heap of events, earliest first.
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

// accuracy counts the links made in a run of a simulated backend.
type accuracy struct{ calls, correct, wrongProven int }

// inferenceAccuracy simulates a backend that always processes the given number of requests
// concurrently. The requests are of two routes. Each request makes one call by another route,
// at a time that varies by a factor of three.
func inferenceAccuracy(seed uint64, concurrency int) (counts accuracy) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var queue eventQueue
	correlator := NewCorrelator()
	base := time.Now()
	var now time.Duration
	schedule := func(d time.Duration, do func()) { heap.Push(&queue, event{now + d, do}) }
	vary := func(d time.Duration) time.Duration { return d/2 + time.Duration(rng.Int64N(int64(d))) }
	remaining := *requestsPerRun
	var begin func()
	begin = func() {
		if remaining--; remaining < 0 {
			return
		}
		route, call, duration, callDuration := "place-order", "reserve-stock", 30*time.Millisecond, 15*time.Millisecond
		if rng.IntN(7) < 3 {
			route, call, duration, callDuration = "read-order", "check-stock", 10*time.Millisecond, 5*time.Millisecond
		}
		work := vary(duration)
		span := trace.Root()
		correlator.Begin(OpenRequest{Span: span, Service: "orders", Route: route, StartedAt: base.Add(now), Deadline: base.Add(now + time.Minute)})
		schedule(work/2, func() {
			cause := correlator.Link("orders", call, trace.Span{}, base.Add(now))
			counts.calls++
			if cause.Parent.ID == span.ID {
				counts.correct++
			} else if cause.Link == trace.LinkProven {
				counts.wrongProven++
			}
			schedule(vary(callDuration)+work/2, func() {
				correlator.End(span.ID)
				begin()
			})
		})
	}
	for range concurrency {
		schedule(time.Duration(rng.Int64N(int64(40*time.Millisecond))), begin)
	}
	for len(queue) > 0 {
		next := heap.Pop(&queue).(event)
		now = next.at
		next.do()
	}
	return counts
}

// TestInferenceAccuracy checks the fraction of calls that are linked to their true cause, for
// several numbers of concurrent requests. A link to a wrong request must never be marked as
// proven.
func TestInferenceAccuracy(t *testing.T) {
	for _, c := range []struct {
		concurrency int
		minCorrect  float64
	}{{1, 1}, {2, 0.88}, {4, 0.7}, {9, 0.33}} {
		t.Run(fmt.Sprint(c.concurrency, " concurrent requests"), func(t *testing.T) {
			correct := 0.0
			for seed := range uint64(5) {
				counts := inferenceAccuracy(seed, c.concurrency)
				correct += float64(counts.correct) / float64(counts.calls) / 5
				if counts.wrongProven > 0 {
					t.Errorf("%d links to wrong requests were marked as proven, want 0", counts.wrongProven)
				}
			}
			t.Logf("%.1f%% of calls linked correctly", 100*correct)
			if correct < c.minCorrect {
				t.Errorf("%.3f of calls linked correctly, want at least %.3f", correct, c.minCorrect)
			}
		})
	}
}

// TestLatestDeadline checks that a call with several likely causes gets their latest deadline
// and their highest priority, so that a wrong link does not fail a call that has time left. A
// call with a proven cause must get the deadline and priority of that cause.
func TestLatestDeadline(t *testing.T) {
	correlator, now := NewCorrelator(), time.Now()
	early, late := trace.Root(), trace.Root()
	correlator.Begin(OpenRequest{Span: early, Service: "s", Route: "w", Priority: 3, StartedAt: now, Deadline: now.Add(10 * time.Millisecond)})
	correlator.Begin(OpenRequest{Span: late, Service: "s", Route: "w", Priority: 1, StartedAt: now, Deadline: now.Add(time.Second)})
	cause := correlator.Link("s", "call", trace.Span{}, now.Add(time.Millisecond))
	if !cause.Deadline.Equal(now.Add(time.Second)) || cause.Priority != 1 || len(cause.Candidates) != 2 {
		t.Errorf("inferred: got %+v, want two candidates, the deadline one second from now, and priority 1", cause)
	}
	cause = correlator.Link("s", "call", early, now)
	if !cause.Deadline.Equal(now.Add(10*time.Millisecond)) || cause.Priority != 3 || cause.Link != trace.LinkProven {
		t.Errorf("proven: got %+v, want a proven link with the deadline 10 ms from now and priority 3", cause)
	}
}
