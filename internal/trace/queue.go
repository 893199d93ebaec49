package trace

import (
	"sync/atomic"
	"time"
)

// Queue is the bounded queue between the traffic and the workers that
// publish. Putting never waits: a full queue drops and counts. (DESIGN 2.4)
type Queue struct {
	node        string
	incarnation uint64
	start       time.Time
	events      chan Event

	accepted, dropped, published, failed atomic.Uint64
}

// QueueStats are the queue's counts.
type QueueStats struct {
	Accepted  uint64 `json:"taken"`
	Dropped   uint64 `json:"dropped"`
	Published uint64 `json:"published"`
	Failed    uint64 `json:"failed"`
	Queued    int    `json:"waiting"`
}

// NewQueue makes a queue of the given size for a node's events.
func NewQueue(node string, boot uint64, size int) *Queue {
	return &Queue{node: node, incarnation: boot, start: time.Now(), events: make(chan Event, size)}
}

// Put records an event of s, or drops it.
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

// Stats reads the counts.
func (q *Queue) Stats() QueueStats {
	return QueueStats{Accepted: q.accepted.Load(), Dropped: q.dropped.Load(), Published: q.published.Load(), Failed: q.failed.Load(), Queued: len(q.events)}
}
