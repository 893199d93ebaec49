package ledger

import (
	"slices"
	"sync"
	"time"
)

// Outcomes of an answer that is the sidecar's own. An answer of a backend has none.
const (
	OutcomeNotRun  = "not-run" // the request was not run, and will not be
	OutcomeUnknown = "unknown" // it may have run
	// OutcomeInterrupted is recorded for a request whose connection ended without an answer.
	OutcomeInterrupted = "cut"
)

// Sent is a request that a client, or a backend, sent.
type Sent struct {
	ID         string
	Parent     string // the request that the sending backend was working on, or ""
	Caller     string // the sending service, or "" for a client
	Service    string
	Zone       string // of the sender
	Digest     string
	Idempotent bool
	// Keyed is set if it had an idempotency key. An answer to such a request holds for every
	// time that it was sent.
	Keyed bool
	At    time.Time
}

// Ran is a run of a request at a backend.
type Ran struct {
	ID       string
	Service  string
	Instance string
	Zone     string
	Caller   string // as the sidecar reported it to the backend
	Digest   string
	// Trace and Span are the identifiers that the backend got.
	Trace, Span string
	At          time.Time
}

// Answered is the answer to a request.
type Answered struct {
	ID     string
	Status int
	// Outcome is one of the outcomes above, or empty for the answer of a backend.
	Outcome string
	// Mismatch is what is wrong with the answer, or "".
	Mismatch string
	// ConnectionError is how the connection ended, if it ended without an answer.
	ConnectionError string
	// UnansweredSends counts the times that the sender's HTTP client sent the request by
	// itself before, without getting an answer.
	UnansweredSends int
	At              time.Time
}

// Leaving is a backend that announced that it is leaving.
type Leaving struct {
	Instance string
	At       time.Time
}

// Ledger collects the records of one run. It is safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	sent      map[string]Sent
	ran       map[string][]Ran
	answered  map[string]Answered
	work      map[string][]Work
	leaving   map[string]time.Time
	evacuated map[string][]span
}

// span is a time span; a zero end means that it has not ended.
type span struct{ from, to time.Time }

// New makes an empty ledger.
func New() *Ledger {
	return &Ledger{sent: map[string]Sent{}, ran: map[string][]Ran{}, work: map[string][]Work{}, answered: map[string]Answered{}, leaving: map[string]time.Time{}, evacuated: map[string][]span{}}
}

// locked calls fn with the ledger locked.
func (l *Ledger) locked(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
}

// RecordSent records a request before it is sent.
func (l *Ledger) RecordSent(s Sent) { l.locked(func() { l.sent[s.ID] = s }) }

// RecordRun records a run when it begins.
func (l *Ledger) RecordRun(r Ran) { l.locked(func() { l.ran[r.ID] = append(l.ran[r.ID], r) }) }

// Work is the work of a backend on a request.
type Work struct {
	ID       string
	Instance string
	Began    time.Time
	Duration time.Duration // as planned
	Ended    time.Time
}

// RecordWork records the work of a run; ended must be called at its end.
func (l *Ledger) RecordWork(p Work) (ended func()) {
	return func() {
		p.Ended = time.Now()
		l.locked(func() { l.work[p.ID] = append(l.work[p.ID], p) })
	}
}

// Runs lists the runs of a request, and the work on it that has ended.
func (l *Ledger) Runs(id string) (runs []Ran, work []Work) {
	l.locked(func() { runs, work = slices.Clone(l.ran[id]), slices.Clone(l.work[id]) })
	return runs, work
}

// LeavingSince is when a backend's first announcement of leaving was acknowledged.
func (l *Ledger) LeavingSince(instance string) (at time.Time, ok bool) {
	l.locked(func() { at, ok = l.leaving[instance] })
	return at, ok
}

// RecordAnswer records an answer.
func (l *Ledger) RecordAnswer(a Answered) { l.locked(func() { l.answered[a.ID] = a }) }

// RecordLeaving records that a backend's announcement of leaving was acknowledged; the first one
// counts.
func (l *Ledger) RecordLeaving(x Leaving) {
	l.locked(func() {
		if _, known := l.leaving[x.Instance]; !known {
			l.leaving[x.Instance] = x.At
		}
	})
}

// RecordEvacuation records that the evacuation of a zone was requested.
func (l *Ledger) RecordEvacuation(zone string, at time.Time) {
	l.locked(func() { l.evacuated[zone] = append(l.evacuated[zone], span{from: at}) })
}

// RecordRestored records that an evacuated zone was requested to be restored.
func (l *Ledger) RecordRestored(zone string, at time.Time) {
	l.locked(func() { s := l.evacuated[zone]; s[len(s)-1].to = at })
}

// InnerCall is a call that a backend made while it worked on a request, as the fakes know it.
type InnerCall struct {
	ID, Parent, Trace, Span string
}

// InnerCalls lists the inner calls that ran.
func (l *Ledger) InnerCalls() (out []InnerCall) {
	l.locked(func() {
		for id, runs := range l.ran {
			if s := l.sent[id]; s.Parent != "" {
				out = append(out, InnerCall{ID: id, Parent: s.Parent, Trace: runs[0].Trace, Span: runs[0].Span})
			}
		}
	})
	return out
}

// FirstRun is the first run of a request.
func (l *Ledger) FirstRun(id string) (r Ran, ok bool) {
	l.locked(func() {
		if runs := l.ran[id]; len(runs) > 0 {
			r, ok = runs[0], true
		}
	})
	return r, ok
}
