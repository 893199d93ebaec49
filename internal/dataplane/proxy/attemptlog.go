package proxy

import (
	"context"
	"time"
)

// attemptRetention is how long an attempt's id is kept: longer than any deadline. (ours)
const attemptRetention = 11 * time.Minute

// AttemptLog is a decision value: it remembers which attempts were begun and which were
// refused, so that no attempt is begun twice or after its refusal. (DESIGN 10.2)
type AttemptLog struct {
	records map[string]attemptRecord
	order   []string
}

type attemptRecord struct {
	refused    bool
	recordedAt time.Duration
}

// NewAttemptLog makes an empty ledger.
func NewAttemptLog() *AttemptLog { return &AttemptLog{records: map[string]attemptRecord{}} }

// Begin lets an unknown attempt begin; false for any other.
func (l *AttemptLog) Begin(id string, now time.Duration) bool {
	_, known := l.record(id, false, now)
	return !known
}

// Refuse lets an attempt never begin; false if it has begun.
func (l *AttemptLog) Refuse(id string, now time.Duration) bool {
	v, _ := l.record(id, true, now)
	return v.refused
}

// record finds what is known of an attempt, or notes it.
func (l *AttemptLog) record(id string, refused bool, now time.Duration) (v attemptRecord, known bool) {
	for len(l.order) > 0 && now-l.records[l.order[0]].recordedAt > attemptRetention {
		delete(l.records, l.order[0])
		l.order = l.order[1:]
	}
	if v, known = l.records[id]; !known {
		v = attemptRecord{refused: refused, recordedAt: now}
		l.records[id] = v
		l.order = append(l.order, id)
	}
	return v, known
}

// attemptLogActor runs a ledger. Its loop is the only one to touch it.
type attemptLogActor struct {
	begins   chan attemptLogQuery
	refusals chan attemptLogQuery
	// done is closed when the loop has ended: from then on nothing begins, and nothing is
	// known to be refused.
	done chan struct{}
}

type attemptLogQuery struct {
	id    string
	reply chan bool
}

func newAttemptLogActor() *attemptLogActor {
	return &attemptLogActor{begins: make(chan attemptLogQuery), refusals: make(chan attemptLogQuery), done: make(chan struct{})}
}

// run owns the ledger until ctx ends.
func (c *attemptLogActor) run(ctx context.Context) {
	defer close(c.done)
	l, start := NewAttemptLog(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.begins:
			m.reply <- l.Begin(m.id, time.Since(start))
		case m := <-c.refusals:
			m.reply <- l.Refuse(m.id, time.Since(start))
		}
	}
}

// query puts a question to the loop by one of its channels; false if ctx or the loop has ended.
func (c *attemptLogActor) query(ctx context.Context, question chan<- attemptLogQuery, id string) bool {
	m := attemptLogQuery{id: id, reply: make(chan bool, 1)}
	select {
	case question <- m:
		return <-m.reply
	case <-c.done:
		return false
	case <-ctx.Done():
		return false
	}
}
