package endpoints

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestAdmissionQueue checks, under random overload with changing limits, that no request starts
// beyond the limit or too late to be completed in time, and that no request starts while one with a
// higher priority waits.
func TestAdmissionQueue(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o := &overload{t: t, rng: rand.New(rand.NewPCG(seed, 5)), limit: 4, waiting: map[uint64]waitingRequest{}}
			for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
				o.step(now)
			}
			if o.started == 0 || o.rejected == 0 || o.startedAfterWait == 0 {
				t.Errorf("got %d started, %d of them after a wait, %d rejected, want some of each", o.started, o.startedAfterWait, o.rejected)
			}
		})
	}
}

// waitingRequest holds the properties of a waiting request that overload checks.
type waitingRequest struct {
	priority int
	target   time.Duration
}

// overload applies random operations to a queue, and checks its decisions.
type overload struct {
	t       *testing.T
	rng     *rand.Rand
	queue   AdmissionQueue
	limit   int64
	waiting map[uint64]waitingRequest
	// ends holds the end times of the running requests.
	ends                                []time.Duration
	started, startedAfterWait, rejected int
}

// step ends and adds requests for one millisecond.
func (o *overload) step(now time.Duration) {
	o.t.Helper()
	if o.rng.IntN(200) == 0 {
		o.limit = 1 + o.rng.Int64N(6)
	}
	before := len(o.ends)
	o.ends = slices.DeleteFunc(o.ends, func(end time.Duration) bool { return end <= now })
	for range before - len(o.ends) {
		o.check(o.queue.Finish("w", 20*ms, o.limit, now), now)
	}
	if o.rng.IntN(3) > 0 {
		o.arrive(now)
	}
	if o.queue.Len() != int64(len(o.ends)+len(o.waiting)) {
		o.t.Fatalf("got queue length %d, want %d running plus %d waiting", o.queue.Len(), len(o.ends), len(o.waiting))
	}
}

// arrive adds a request to the queue.
func (o *overload) arrive(now time.Duration) {
	o.t.Helper()
	request := QueueRequest{Priority: 1 + o.rng.IntN(3), Route: "w", Remaining: time.Duration(o.rng.Int64N(int64(150 * ms)))}
	enqueued := o.queue.Enqueue(request, o.limit, now)
	switch enqueued.Decision {
	case Start:
		if int64(len(o.ends)) >= o.limit {
			o.t.Fatal("request started beyond the limit")
		}
		o.ends = append(o.ends, now+20*ms)
		o.started++
	case Wait:
		o.waiting[enqueued.ID] = waitingRequest{priority: request.Priority, target: now + request.Remaining}
	case Reject:
		o.rejected++
		if o.queue.meanDuration > 0 && enqueued.RetryAfter <= 0 {
			o.t.Fatal("request rejected without a retry time")
		}
	}
	o.check(enqueued.Transition, now)
}

// check verifies the decisions of a transition, and applies them to the expected state.
func (o *overload) check(transition Transition, now time.Duration) {
	o.t.Helper()
	for _, id := range transition.Started {
		request := o.waiting[id]
		delete(o.waiting, id)
		if now > request.target {
			o.t.Fatalf("request started %v after its target time", now-request.target)
		}
		for _, other := range o.waiting {
			if other.priority < request.priority {
				o.t.Fatalf("request of priority %d started while one of priority %d waits", request.priority, other.priority)
			}
		}
		o.ends = append(o.ends, now+time.Duration(o.rng.Int64N(int64(40*ms))))
		o.started++
		o.startedAfterWait++
	}
	for _, id := range transition.Rejected {
		delete(o.waiting, id)
		o.rejected++
	}
	if len(transition.Started) > 0 && int64(len(o.ends)) > o.limit {
		o.t.Fatalf("got %d running requests, want at most %d", len(o.ends), o.limit)
	}
}

// TestOverdueWaiters checks that a request that can only be completed late is overdue: it is placed
// behind all requests that can be in time, whatever their priority, and starts while its response
// is still useful. A request whose late response is of no use is rejected immediately. Within a
// priority, the request that must start earlier goes first.
func TestOverdueWaiters(t *testing.T) {
	var q AdmissionQueue
	enqueue := func(priority int, remaining, lateRemaining, now time.Duration) (QueueDecision, uint64) {
		t.Helper()
		enqueued := q.Enqueue(QueueRequest{Priority: priority, Route: "w", Remaining: remaining, LateRemaining: lateRemaining}, 1, now)
		if len(enqueued.Transition.Started) > 0 || len(enqueued.Transition.Rejected) > 0 {
			t.Errorf("got transition %+v when a request was added, want none", enqueued.Transition)
		}
		return enqueued.Decision, enqueued.ID
	}
	enqueue(1, ms, 0, 0)
	q.Finish("w", 100*ms, 1, 0) // a request takes 100 ms
	if decision, _ := enqueue(1, 100*ms, 0, 0); decision != Start {
		t.Fatal("the first request did not start")
	}
	if decision, _ := enqueue(1, 150*ms, 0, 0); decision != Reject {
		t.Error("got no rejection of a request that cannot be in time")
	}
	_, overdue := enqueue(1, 150*ms, 900*ms, 0)
	_, later := enqueue(2, 500*ms, 900*ms, 0)
	_, sooner := enqueue(2, 400*ms, 900*ms, 0)
	_, tooLate := enqueue(3, 10*ms, 810*ms, 0)
	if q.Len() != 5 {
		t.Errorf("got %d running or waiting requests, want 5", q.Len())
	}
	var order []uint64
	for now := 150 * ms; now <= 750*ms; now += 150 * ms {
		transition := q.Finish("w", 100*ms, 1, now)
		order = append(order, transition.Started...)
		for _, id := range transition.Rejected {
			if id != tooLate || now <= 405*ms {
				t.Errorf("request %d was rejected at %v, want only the request that is too late, after 405ms", id, now)
			}
		}
	}
	if decision, _ := enqueue(3, 10*ms, 40*ms, 750*ms); decision != Start {
		t.Error("an empty queue did not start a request")
	}
	if want := []uint64{sooner, later, overdue}; !slices.Equal(order, want) {
		t.Errorf("got start order %v, want %v", order, want)
	}
}

// TestShortRequestsStartFirst checks that, within a priority, a short request starts before a long
// one, even if the long one must start earlier to be in time.
func TestShortRequestsStartFirst(t *testing.T) {
	var q AdmissionQueue
	for _, observed := range []struct {
		route string
		took  time.Duration
	}{{"short", 40 * ms}, {"long", 200 * ms}} {
		q.Enqueue(QueueRequest{Priority: 1, Route: observed.route, Remaining: time.Second}, 1, 0)
		q.Finish(observed.route, observed.took, 1, 0)
	}
	enqueue := func(priority int, route string, remaining time.Duration) uint64 {
		return q.Enqueue(QueueRequest{Priority: priority, Route: route, Remaining: remaining}, 1, 0).ID
	}
	enqueue(1, "long", time.Second)
	long := enqueue(1, "long", 700*ms)
	short := enqueue(1, "short", 900*ms)
	urgent := enqueue(0, "long", 900*ms)
	var order []uint64
	for range 3 {
		order = append(order, q.Finish("long", 200*ms, 1, 100*ms).Started...)
	}
	if want := []uint64{urgent, short, long}; !slices.Equal(order, want) {
		t.Errorf("got start order %v, want %v", order, want)
	}
}

// TestCancelFreesSlot checks that a canceled request frees its slot and does not change the
// duration estimates.
func TestCancelFreesSlot(t *testing.T) {
	var q AdmissionQueue
	q.Finish("w", 100*ms, 1, 0)
	q.running = 0
	mean, estimate := q.meanDuration, q.durations["w"]
	request := QueueRequest{Route: "w", Remaining: time.Second}
	if first := q.Enqueue(request, 1, 0); first.Decision != Start {
		t.Fatalf("first request: got decision %v, want Start", first.Decision)
	}
	second := q.Enqueue(request, 1, 0)
	if second.Decision != Wait {
		t.Fatalf("second request: got decision %v, want Wait", second.Decision)
	}
	if transition := q.Cancel(1, ms); len(transition.Started) != 1 || transition.Started[0] != second.ID || q.Len() != 1 {
		t.Errorf("after the cancellation: got transition %+v and queue length %d, want the second request started and length 1", transition, q.Len())
	}
	if q.meanDuration != mean || q.durations["w"] != estimate {
		t.Errorf("got estimates %v %+v, want unchanged %v %+v", q.meanDuration, q.durations["w"], mean, estimate)
	}
}
