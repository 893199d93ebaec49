// Package simulation drives the production decision values through seeded
// failures: time, messages and disks are simulated, the decisions are not.
// (DESIGN 14.3)
package simulation

import (
	"container/heap"
	"time"
)

// clock runs events in the order of simulated time.
type clock struct {
	now      time.Duration
	sequence int
	queue    eventQueue
}

type event struct {
	at       time.Duration
	sequence int
	action   func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after runs do a while from now.
func (c *clock) after(delay time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now + delay, sequence: c.sequence, action: action})
}

// run runs events until simulated time is over.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.action()
	}
	c.now = until
}
