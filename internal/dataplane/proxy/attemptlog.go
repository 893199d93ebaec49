package proxy

import (
	"context"
	"time"
)

// attemptRetention is how long the log keeps an attempt. It is longer than any deadline, because
// the configuration allows deadlines of at most 10 minutes.
const attemptRetention = 11 * time.Minute

// AttemptLog records which attempts have begun and which were refused, so that no attempt begins
// twice or after its refusal. It is not safe for concurrent use. The caller passes the current time
// as the time since a fixed start, so that tests/simulation can use the log with simulated time.
// (DESIGN 10.2)
type AttemptLog struct {
	records map[string]attemptRecord
	// order holds the IDs of the attempts in the order in which they were recorded.
	order []string
}

// attemptRecord is the record of an attempt that was refused, or has begun if refused is false.
type attemptRecord struct {
	refused    bool
	recordedAt time.Duration
}

// NewAttemptLog returns an empty log.
func NewAttemptLog() *AttemptLog { return &AttemptLog{records: map[string]attemptRecord{}} }

// Begin records an unknown attempt as begun and returns true. It returns false if the attempt is
// already recorded.
func (l *AttemptLog) Begin(id string, now time.Duration) bool {
	_, known := l.record(id, false, now)
	return !known
}

// Refuse ensures that an attempt never begins. It returns false if the attempt has begun.
func (l *AttemptLog) Refuse(id string, now time.Duration) bool {
	record, _ := l.record(id, true, now)
	return record.refused
}

// record returns the record of an attempt. If there is none, it records the attempt as refused or
// begun. It also removes records older than attemptRetention.
func (l *AttemptLog) record(id string, refused bool, now time.Duration) (record attemptRecord, known bool) {
	for len(l.order) > 0 && now-l.records[l.order[0]].recordedAt > attemptRetention {
		delete(l.records, l.order[0])
		l.order = l.order[1:]
	}
	if record, known = l.records[id]; !known {
		record = attemptRecord{refused: refused, recordedAt: now}
		l.records[id] = record
		l.order = append(l.order, id)
	}
	return record, known
}

// attemptLogActor owns an AttemptLog. Only the goroutine of run uses the log.
type attemptLogActor struct {
	begins   chan attemptLogQuery
	refusals chan attemptLogQuery
	// done is closed when run has ended. After that, no attempt begins and no attempt is known to
	// be refused.
	done chan struct{}
}

// attemptLogQuery is a request to begin or to refuse an attempt.
type attemptLogQuery struct {
	id    string
	reply chan bool
}

func newAttemptLogActor() *attemptLogActor {
	return &attemptLogActor{begins: make(chan attemptLogQuery), refusals: make(chan attemptLogQuery), done: make(chan struct{})}
}

// run answers queries until ctx ends.
func (a *attemptLogActor) run(ctx context.Context) {
	defer close(a.done)
	log, start := NewAttemptLog(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case query := <-a.begins:
			query.reply <- log.Begin(query.id, time.Since(start))
		case query := <-a.refusals:
			query.reply <- log.Refuse(query.id, time.Since(start))
		}
	}
}

// begin calls AttemptLog.Begin. It also returns false if ctx or run has ended.
func (a *attemptLogActor) begin(ctx context.Context, id string) bool {
	return a.query(ctx, a.begins, id)
}

// refuse calls AttemptLog.Refuse. It also returns false if ctx or run has ended.
func (a *attemptLogActor) refuse(ctx context.Context, id string) bool {
	return a.query(ctx, a.refusals, id)
}

func (a *attemptLogActor) query(ctx context.Context, queries chan<- attemptLogQuery, id string) bool {
	query := attemptLogQuery{id: id, reply: make(chan bool, 1)}
	select {
	case queries <- query:
		return <-query.reply
	case <-a.done:
		return false
	case <-ctx.Done():
		return false
	}
}
