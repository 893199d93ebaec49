package ledger

import (
	"slices"
	"sync"
	"time"
)

// Outcomes of answers that the sidecar generates. An answer from a backend has no outcome.
const (
	OutcomeNotRun  = "not-run" // the request has not run and will not run
	OutcomeUnknown = "unknown" // the request may have run
	// OutcomeInterrupted marks a request whose connection ended before an answer arrived.
	OutcomeInterrupted = "cut"
)

// Sent is a request that a client or a backend sent.
type Sent struct {
	ID         string
	Parent     string // the request that the sending backend was processing, or "" for a client
	Caller     string // the sending service, or "" for a client
	Service    string
	Zone       string // of the sender
	Digest     string
	Idempotent bool
	// Keyed reports whether the request had an idempotency key. The answer to a keyed
	// request applies to every send of it.
	Keyed bool
	At    time.Time
}

// Ran is a run of a request at a backend.
type Ran struct {
	ID       string
	Service  string
	Instance string
	Zone     string
	Caller   string // the sending service as the sidecar reported it to the backend
	Digest   string
	// Trace and Span are the trace identifiers that the backend received.
	Trace, Span string
	At          time.Time
}

// Answered is the answer to a request.
type Answered struct {
	ID     string
	Status int
	// Outcome is one of the Outcome constants, or empty for an answer from a backend.
	Outcome string
	// Mismatch describes how the answer differs from the expected one, or is "".
	Mismatch string
	// ConnectionError describes how the connection ended, if it ended without an answer.
	ConnectionError string
	// UnansweredSends counts the earlier sends of the request that got no answer. The
	// sender's HTTP client resends such requests automatically.
	UnansweredSends int
	At              time.Time
}

// Leaving records that a backend announced that it is leaving.
type Leaving struct {
	Instance string
	At       time.Time
}

// Ledger collects the records of one test run. It is safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	sent      map[string]Sent
	ran       map[string][]Ran
	answered  map[string]Answered
	work      map[string][]Work
	leaving   map[string]time.Time
	evacuated map[string][]span
}

// span is a time span. A zero end means that the span has not ended.
type span struct{ from, to time.Time }

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{sent: map[string]Sent{}, ran: map[string][]Ran{}, work: map[string][]Work{}, answered: map[string]Answered{}, leaving: map[string]time.Time{}, evacuated: map[string][]span{}}
}

// locked calls fn while it holds the ledger's mutex.
func (l *Ledger) locked(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
}

// RecordSent records a request. It must be called before the request is sent.
func (l *Ledger) RecordSent(s Sent) { l.locked(func() { l.sent[s.ID] = s }) }

// RecordRun records the start of a run.
func (l *Ledger) RecordRun(r Ran) { l.locked(func() { l.ran[r.ID] = append(l.ran[r.ID], r) }) }

// Work is the time that a backend spent on a request.
type Work struct {
	ID       string
	Instance string
	Began    time.Time
	Duration time.Duration // as planned
	Ended    time.Time
}

// RecordWork returns a function that records the work with the current time as its end. The
// caller must call that function when the work ends.
func (l *Ledger) RecordWork(p Work) (ended func()) {
	return func() {
		p.Ended = time.Now()
		l.locked(func() { l.work[p.ID] = append(l.work[p.ID], p) })
	}
}

// Runs returns the runs of a request and the completed work on it.
func (l *Ledger) Runs(id string) (runs []Ran, work []Work) {
	l.locked(func() { runs, work = slices.Clone(l.ran[id]), slices.Clone(l.work[id]) })
	return runs, work
}

// LeavingSince returns when a backend's first announcement of leaving was acknowledged. ok
// reports whether there was one.
func (l *Ledger) LeavingSince(instance string) (at time.Time, ok bool) {
	l.locked(func() { at, ok = l.leaving[instance] })
	return at, ok
}

// RecordAnswer records the answer to a request and replaces an earlier one.
func (l *Ledger) RecordAnswer(a Answered) { l.locked(func() { l.answered[a.ID] = a }) }

// RecordLeaving records that a backend's announcement of leaving was acknowledged. Later
// announcements of the same backend are ignored.
func (l *Ledger) RecordLeaving(x Leaving) {
	l.locked(func() {
		if _, known := l.leaving[x.Instance]; !known {
			l.leaving[x.Instance] = x.At
		}
	})
}

// RecordEvacuation records that an operator requested the evacuation of a zone.
func (l *Ledger) RecordEvacuation(zone string, at time.Time) {
	l.locked(func() { l.evacuated[zone] = append(l.evacuated[zone], span{from: at}) })
}

// RecordRestored records that an operator requested an evacuated zone to be restored.
func (l *Ledger) RecordRestored(zone string, at time.Time) {
	l.locked(func() { s := l.evacuated[zone]; s[len(s)-1].to = at })
}

// InnerCall is a call that a backend made while it processed the request Parent, as recorded
// by the fakes.
type InnerCall struct {
	ID, Parent, Trace, Span string
}

// InnerCalls returns the inner calls that ran, with the trace identifiers of their first runs.
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

// FirstRun returns the first run of a request. ok reports whether the request ran.
func (l *Ledger) FirstRun(id string) (r Ran, ok bool) {
	l.locked(func() {
		if runs := l.ran[id]; len(runs) > 0 {
			r, ok = runs[0], true
		}
	})
	return r, ok
}
