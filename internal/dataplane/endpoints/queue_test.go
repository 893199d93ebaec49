package endpoints

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestAdmissionQueue checks under random overload, with limits that change, that no request
// starts beyond the limit or too late to be completed in time, and that no lower priority
// starts while a higher one waits.
func TestAdmissionQueue(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o := &overload{t: t, rng: rand.New(rand.NewPCG(seed, 5)), limit: 4, waiting: map[uint64]waitingRequest{}}
			for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
				o.step(now)
			}
			if o.started == 0 || o.rejected == 0 || o.startedAfterWait == 0 {
				t.Errorf("%d started, %d of them after a wait, %d rejected", o.started, o.startedAfterWait, o.rejected)
			}
		})
	}
}

// waitingRequest is what overload knows of a request that waits.
type waitingRequest struct {
	priority int
	startBy  time.Duration
}

// overload drives a queue at random, and checks what it decides.
type overload struct {
	t       *testing.T
	rng     *rand.Rand
	queue   AdmissionQueue
	limit   int64
	waiting map[uint64]waitingRequest
	// ends are when the running requests end.
	ends                                []time.Duration
	started, startedAfterWait, rejected int
}

// step lets requests end and arrive for a millisecond.
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
		o.t.Fatalf("the queue counts %d, %d run and %d wait", o.queue.Len(), len(o.ends), len(o.waiting))
	}
}

// arrive puts a request.
func (o *overload) arrive(now time.Duration) {
	o.t.Helper()
	request := QueueRequest{Priority: 1 + o.rng.IntN(3), Route: "w", Remaining: time.Duration(o.rng.Int64N(int64(150 * ms)))}
	enqueued := o.queue.Enqueue(request, o.limit, now)
	switch enqueued.Decision {
	case Start:
		if int64(len(o.ends)) >= o.limit {
			o.t.Fatal("started beyond the limit")
		}
		o.ends = append(o.ends, now+20*ms)
		o.started++
	case Wait:
		o.waiting[enqueued.ID] = waitingRequest{priority: request.Priority, startBy: now + request.Remaining}
	case Reject:
		o.rejected++
		if o.queue.meanDuration > 0 && enqueued.RetryAfter <= 0 {
			o.t.Fatal("rejected without a time to retry after")
		}
	}
	o.check(enqueued.Transition, now)
}

// check takes over what a transition decides.
func (o *overload) check(transition Transition, now time.Duration) {
	o.t.Helper()
	for _, id := range transition.Started {
		first := o.waiting[id]
		delete(o.waiting, id)
		if now > first.startBy {
			o.t.Fatalf("started %v after it could be completed in time", now-first.startBy)
		}
		for _, other := range o.waiting {
			if other.priority < first.priority {
				o.t.Fatalf("priority %d started while priority %d waits", first.priority, other.priority)
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
		o.t.Fatalf("%d run under a limit of %d", len(o.ends), o.limit)
	}
}

// TestOverdueWaiters checks that a request that can only be late is overdue, behind all that
// can be in time, whatever their priority, and starts as long as its response is worth
// something; that one whose late response is worth nothing is rejected at once; and that
// within a priority the request that has to start first does so.
func TestOverdueWaiters(t *testing.T) {
	var q AdmissionQueue
	enqueue := func(priority int, remaining, lateRemaining, now time.Duration) (QueueDecision, uint64) {
		t.Helper()
		enqueued := q.Enqueue(QueueRequest{Priority: priority, Route: "w", Remaining: remaining, LateRemaining: lateRemaining}, 1, now)
		if len(enqueued.Transition.Started) > 0 || len(enqueued.Transition.Rejected) > 0 {
			t.Errorf("another request changed what waits: %+v", enqueued.Transition)
		}
		return enqueued.Decision, enqueued.ID
	}
	enqueue(1, ms, 0, 0)
	q.Finish("w", 100*ms, 1, 0) // a request takes 100 ms
	if decision, _ := enqueue(1, 100*ms, 0, 0); decision != Start {
		t.Fatal("the first request does not start")
	}
	if decision, _ := enqueue(1, 150*ms, 0, 0); decision != Reject {
		t.Error("a request that can't be in time waits")
	}
	_, overdue := enqueue(1, 150*ms, 900*ms, 0)
	_, later := enqueue(2, 500*ms, 900*ms, 0)
	_, sooner := enqueue(2, 400*ms, 900*ms, 0)
	_, hopeless := enqueue(3, 10*ms, 810*ms, 0)
	if q.Len() != 5 {
		t.Errorf("%d requests run or wait", q.Len())
	}
	var order []uint64
	for now := 150 * ms; now <= 750*ms; now += 150 * ms {
		transition := q.Finish("w", 100*ms, 1, now)
		order = append(order, transition.Started...)
		for _, id := range transition.Rejected {
			if id != hopeless || now <= 405*ms {
				t.Errorf("%d was rejected at %v", id, now)
			}
		}
	}
	if decision, _ := enqueue(3, 10*ms, 40*ms, 750*ms); decision != Start {
		t.Error("an empty queue rejects")
	}
	if want := []uint64{sooner, later, overdue}; !slices.Equal(order, want) {
		t.Errorf("started in the order %v, want %v", order, want)
	}
}

// TestShortRunsFirst checks that within a priority a short request starts before a long one,
// even if that has to start first.
func TestShortRunsFirst(t *testing.T) {
	var q AdmissionQueue
	for _, learned := range []struct {
		route string
		took  time.Duration
	}{{"short", 40 * ms}, {"long", 200 * ms}} {
		q.Enqueue(QueueRequest{Priority: 1, Route: learned.route, Remaining: time.Second}, 1, 0)
		q.Finish(learned.route, learned.took, 1, 0)
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
		t.Errorf("started in the order %v, want %v", order, want)
	}
}

// TestCancelFreesSlot checks that a request that was stopped frees its slot, and that
// nothing is learned of it.
func TestCancelFreesSlot(t *testing.T) {
	var q AdmissionQueue
	q.Finish("w", 100*ms, 1, 0)
	q.running = 0
	mean, estimate := q.meanDuration, q.durations["w"]
	request := QueueRequest{Route: "w", Remaining: time.Second}
	if first := q.Enqueue(request, 1, 0); first.Decision != Start {
		t.Fatalf("the first request: decision %v", first.Decision)
	}
	second := q.Enqueue(request, 1, 0)
	if second.Decision != Wait {
		t.Fatalf("the second request: decision %v", second.Decision)
	}
	if transition := q.Cancel(1, ms); len(transition.Started) != 1 || transition.Started[0] != second.ID || q.Len() != 1 {
		t.Errorf("after the cancellation: %+v, %d in all", transition, q.Len())
	}
	if q.meanDuration != mean || q.durations["w"] != estimate {
		t.Errorf("learned %v %+v, had %v %+v", q.meanDuration, q.durations["w"], mean, estimate)
	}
}
