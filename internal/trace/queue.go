package trace

import (
	"sync/atomic"
	"time"
)

// Queue is a bounded queue of events between the traffic and the publishers. It is safe for
// concurrent use. (DESIGN 2.4)
type Queue struct {
	node        string
	incarnation uint64
	start       time.Time
	events      chan Event

	accepted, dropped, published, failed atomic.Uint64
}

// QueueStats are the numbers of events of a queue since its start.
type QueueStats struct {
	Accepted uint64 `json:"taken"`
	// Dropped is the number of those that found the queue full.
	Dropped uint64 `json:"dropped"`
	// Published and Failed are the numbers of those that a collector accepted, and of those
	// that none did.
	Published uint64 `json:"published"`
	Failed    uint64 `json:"failed"`
	// Queued is the number of events that are in the queue now.
	Queued int `json:"waiting"`
}

// NewQueue returns an empty queue for up to size events of a process.
func NewQueue(node string, incarnation uint64, size int) *Queue {
	return &Queue{node: node, incarnation: incarnation, start: time.Now(), events: make(chan Event, size)}
}

// Put records an event of s. It sets the fields of e that name the span, the process and the
// time. It never blocks: if the queue is full, the event is dropped and counted.
func (q *Queue) Put(s Span, kind Kind, e Event) {
	e.Trace, e.Span, e.Parent, e.Kind, e.Counter = s.Trace, s.ID, s.Parent, kind, s.NextCounter()
	e.Node, e.Incarnation, e.At = q.node, q.incarnation, time.Since(q.start)
	select {
	case q.events <- e:
		q.accepted.Add(1)
	default:
		q.dropped.Add(1)
	}
}

// Stats returns the numbers of events.
func (q *Queue) Stats() QueueStats {
	return QueueStats{
		Accepted: q.accepted.Load(), Dropped: q.dropped.Load(),
		Published: q.published.Load(), Failed: q.failed.Load(), Queued: len(q.events),
	}
}
