package trace

import (
	"sync/atomic"
	"time"
)

// Queue is a bounded queue of events. The goroutines that handle traffic put events into it, and
// publishers take them out. It is safe for concurrent use. (DESIGN 2.4)
type Queue struct {
	node        string
	incarnation uint64
	start       time.Time
	events      chan Event

	accepted, dropped, published, failed atomic.Uint64
}

// QueueStats contains the numbers of events of a queue. All but Queued count since the queue was
// created.
type QueueStats struct {
	// Accepted is the number of events that were put into the queue.
	Accepted uint64 `json:"taken"`
	// Dropped is the number of events that were discarded because the queue was full.
	Dropped uint64 `json:"dropped"`
	// Published is the number of events that a collector accepted, Failed the number of events that
	// no collector accepted.
	Published uint64 `json:"published"`
	Failed    uint64 `json:"failed"`
	// Queued is the number of events that are in the queue now.
	Queued int `json:"waiting"`
}

// NewQueue returns an empty queue for up to size events. node and incarnation identify the process
// that records them. The times of the events count from this call.
func NewQueue(node string, incarnation uint64, size int) *Queue {
	return &Queue{node: node, incarnation: incarnation, start: time.Now(), events: make(chan Event, size)}
}

// Put records an event of s. It sets the fields of e that identify the span, the process and the
// time. It never blocks: if the queue is full, Put drops the event and counts it in Dropped.
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

// Stats returns the current numbers of events.
func (q *Queue) Stats() QueueStats {
	return QueueStats{
		Accepted: q.accepted.Load(), Dropped: q.dropped.Load(),
		Published: q.published.Load(), Failed: q.failed.Load(), Queued: len(q.events),
	}
}
