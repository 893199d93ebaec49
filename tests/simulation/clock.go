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
	now   time.Duration
	seq   int
	queue events
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after runs do a while from now.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.seq, do: do})
}

// run runs events until simulated time is over.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
