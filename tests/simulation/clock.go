package simulation

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// forever is a time that no run reaches.
const forever = time.Duration(math.MaxInt64)

// clock runs events in the order of simulated time. Time counts from the beginning of the
// run.
type clock struct {
	now      time.Duration
	sequence int
	queue    eventQueue
}

// event is an action that is due at a moment; those of one moment run in the order in which
// they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventQueue is a heap of events, the next one first.
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

// after runs an action once delay has passed.
func (c *clock) after(delay time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now + delay, sequence: c.sequence, action: action})
}

// run runs all events that are due until a moment, and ends there.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.action()
	}
	c.now = until
}

// randomClock is a clock with the random source of the run.
type randomClock struct {
	clock
	rng *rand.Rand
}

// newRandomClock makes the clock of a run. stream keeps the kinds of run apart that are
// given the same seed.
func newRandomClock(seed, stream uint64) randomClock {
	return randomClock{rng: rand.New(rand.NewPCG(seed, stream))}
}

// randomDuration draws a duration from zero to longest, which is included.
func (c *randomClock) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(longest) + 1))
}

// repeat runs an action again and again, at intervals that are drawn around interval, until
// a moment. An interval of zero means never.
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
