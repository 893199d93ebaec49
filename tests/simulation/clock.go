package simulation

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// forever is a time that no simulation reaches.
const forever = time.Duration(math.MaxInt64)

// clock runs events in the order of simulated time. Time is measured from the start of the
// simulation.
type clock struct {
	now      time.Duration
	sequence int
	queue    eventQueue
}

// event is an action scheduled for a time. Events scheduled for the same time run in the order
// in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after schedules an action to run after a delay.
func (c *clock) after(delay time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now + delay, sequence: c.sequence, action: action})
}

// run runs all events that are due at or before until, and sets the time to until.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.action()
	}
	c.now = until
}

// randomClock is a clock with the random source of the simulation.
type randomClock struct {
	clock
	rng *rand.Rand
}

// newRandomClock returns the clock of a simulation. Each kind of simulation has its own
// stream, so that different kinds draw different numbers from the same seed.
func newRandomClock(seed, stream uint64) randomClock {
	return randomClock{rng: rand.New(rand.NewPCG(seed, stream))}
}

// randomDuration draws a duration between zero and longest, inclusive.
func (c *randomClock) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(longest) + 1))
}

// repeat runs an action repeatedly until the time until. The intervals are drawn between zero
// and twice interval. With an interval of zero the action never runs.
func (c *randomClock) repeat(interval, until time.Duration, action func()) {
	if interval == 0 {
		return
	}
	c.after(c.randomDuration(2*interval), func() {
		if c.now < until {
			action()
			c.repeat(interval, until, action)
		}
	})
}
