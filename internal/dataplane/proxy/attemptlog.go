package proxy

import (
	"context"
	"time"
)

// attemptRetention is how long an attempt is remembered: longer than any deadline. (ours)
const attemptRetention = 11 * time.Minute

// AttemptLog remembers which attempts were begun and which were refused, so that none is begun
// twice or after its refusal. It is for use by one goroutine, and given the time as the time
// since a start of the caller's. (DESIGN 10.2)
type AttemptLog struct {
	records map[string]attemptRecord
	// order has the attempts' IDs in the order of their records.
	order []string
}

type attemptRecord struct {
	refused    bool
	recordedAt time.Duration
}

// NewAttemptLog returns an empty log.
func NewAttemptLog() *AttemptLog { return &AttemptLog{records: map[string]attemptRecord{}} }

// Begin lets an attempt begin if it is unknown; false for any other.
func (l *AttemptLog) Begin(id string, now time.Duration) bool {
	_, known := l.record(id, false, now)
	return !known
}

// Refuse makes sure that an attempt never begins; false if it has begun.
func (l *AttemptLog) Refuse(id string, now time.Duration) bool {
	record, _ := l.record(id, true, now)
	return record.refused
}

// record returns what is known of an attempt, or records it as refused or begun.
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

// attemptLogActor owns an AttemptLog: its goroutine alone uses it.
type attemptLogActor struct {
	begins   chan attemptLogQuery
	refusals chan attemptLogQuery
	// done is closed when run has ended: from then on nothing begins, and nothing is known to
	// be refused.
	done chan struct{}
}

// attemptLogQuery asks to begin or to refuse an attempt.
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

// begin is AttemptLog.Begin; false also if ctx or run has ended.
func (a *attemptLogActor) begin(ctx context.Context, id string) bool {
	return a.query(ctx, a.begins, id)
}

// refuse is AttemptLog.Refuse; false also if ctx or run has ended.
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
