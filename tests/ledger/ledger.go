// Package ledger holds the stand-ins' own records of a run and judges them: it
// believes nothing that the system says of itself. (DESIGN 14.2)
package ledger

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Sent is a request that a caller sent.
type Sent struct {
	ID         string
	Parent     string // the request that a backend was working on, if one sent it
	Caller     string // the calling service, or ""
	Service    string
	Zone       string // where its sender stands
	Digest     string
	Idempotent bool
	// Keyed is whether it bore a key: then what is said of it holds for every sending.
	Keyed bool
	At    time.Time
}

// Ran is a request that a backend ran.
type Ran struct {
	ID       string
	Service  string
	Instance string
	Zone     string
	Caller   string // as the backend was told
	Digest   string
	// Trace and Span are the identifiers that the backend was given.
	Trace, Span string
	At          time.Time
}

// Answered is what a caller got.
type Answered struct {
	ID      string
	Status  int
	Outcome string
	// Mismatch says what is wrong with the answer, if anything.
	Mismatch string
	// ConnectionError says how the connection ended, if it ended without an answer.
	ConnectionError string
	// UnansweredSends counts the sendings before the one that was answered, which ended without
	// an answer and which its sender's HTTP client repeated by itself.
	UnansweredSends int
	At              time.Time
}

// Leaving is a backend that said it was leaving.
type Leaving struct {
	Instance string
	At       time.Time
}

// Ledger collects the records of one run.
type Ledger struct {
	mu        sync.Mutex
	sent      map[string]Sent
	ran       map[string][]Ran
	answered  map[string]Answered
	work      map[string][]Work
	leaving   map[string]time.Time
	evacuated map[string][]span
}

type span struct{ from, to time.Time }

// New makes an empty ledger.
func New() *Ledger {
	return &Ledger{sent: map[string]Sent{}, ran: map[string][]Ran{}, work: map[string][]Work{}, answered: map[string]Answered{}, leaving: map[string]time.Time{}, evacuated: map[string][]span{}}
}

func (l *Ledger) locked(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
}

// RecordSent records a request before it goes out.
func (l *Ledger) RecordSent(s Sent) { l.locked(func() { l.sent[s.ID] = s }) }

// RecordRun records a run as it begins.
func (l *Ledger) RecordRun(r Ran) { l.locked(func() { l.ran[r.ID] = append(l.ran[r.ID], r) }) }

// Work is how long a backend would work on a request, and when it ended.
type Work struct {
	ID       string
	Instance string
	Began    time.Time
	Duration time.Duration
	Ended    time.Time
}

// RecordWork records a run's work as it begins; ended is called at its end.
func (l *Ledger) RecordWork(p Work) (ended func()) {
	return func() {
		p.Ended = time.Now()
		l.locked(func() { l.work[p.ID] = append(l.work[p.ID], p) })
	}
}

// Runs lists the runs of a request, and the work that has ended.
func (l *Ledger) Runs(id string) (runs []Ran, work []Work) {
	l.locked(func() { runs, work = slices.Clone(l.ran[id]), slices.Clone(l.work[id]) })
	return runs, work
}

// LeavingSince tells when a backend's first word of leaving was taken.
func (l *Ledger) LeavingSince(instance string) (at time.Time, left bool) {
	l.locked(func() { at, left = l.leaving[instance] })
	return at, left
}

// RecordAnswer records an answer.
func (l *Ledger) RecordAnswer(a Answered) { l.locked(func() { l.answered[a.ID] = a }) }

// RecordLeaving records that a backend's word of leaving was taken: its first one counts.
func (l *Ledger) RecordLeaving(x Leaving) {
	l.locked(func() {
		if _, known := l.leaving[x.Instance]; !known {
			l.leaving[x.Instance] = x.At
		}
	})
}

// RecordEvacuation records that a zone was asked to be emptied; taken back ends it.
func (l *Ledger) RecordEvacuation(zone string, at time.Time) {
	l.locked(func() { l.evacuated[zone] = append(l.evacuated[zone], span{from: at}) })
}

// RecordRestored records that an emptied zone was asked back.
func (l *Ledger) RecordRestored(zone string, at time.Time) {
	l.locked(func() { s := l.evacuated[zone]; s[len(s)-1].to = at })
}

// InnerCall is an inner call as the stand-ins know it.
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

// FirstRun tells with which identifiers a request ran.
func (l *Ledger) FirstRun(id string) (r Ran, ok bool) {
	l.locked(func() {
		if runs := l.ran[id]; len(runs) > 0 {
			r, ok = runs[0], true
		}
	})
	return r, ok
}

// Verdict is a run's judgement.
type Verdict struct {
	Sent, Ran, Answered, Good, NotRun, Unknown int
	// LostEarly counts those of the unknown whose time was not over.
	LostEarly int
	// Interrupted counts requests that were handed over and got no answer at all.
	Interrupted int
	// CrossZone counts runs in another zone than their sender's.
	CrossZone int
	// Spread is the most and the mean that one backend ran, by service.
	Spread map[string]string
	// Interruptions says how, for some of them.
	Interruptions []string
	// Breaches lists what must never happen and did.
	Breaches []Breach
}

const (
	drainLimit      = 2 * time.Second
	evacuationLimit = 5 * time.Second
)

// breach notes that something happened that must never.
func (v *Verdict) breach(rule Rule, id, format string, args ...any) {
	v.Breaches = append(v.Breaches, Breach{Rule: rule, ID: id, Text: fmt.Sprintf(format, args...)})
}

// interrupted counts a request that got no answer, and says how.
func (v *Verdict) interrupted(how string) {
	v.Interrupted++
	v.Interruptions = append(v.Interruptions, how)
}

// Judge checks the records, once all callers have stopped.
func (l *Ledger) Judge() Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := Verdict{Sent: len(l.sent), Answered: len(l.answered)}
	for id, runs := range l.ran {
		l.judgeRuns(&v, id, runs)
	}
	l.judgeRetries(&v)
	v.Spread = l.spread()
	for id, answer := range l.answered {
		l.judgeAnswer(&v, id, answer)
	}
	return v
}

// judgeRuns judges all runs of one request.
func (l *Ledger) judgeRuns(v *Verdict, id string, runs []Ran) {
	v.Ran += len(runs)
	sent, ok := l.sent[id]
	if !ok {
		v.breach(RuleUnrequested, id, "%s ran at %s, but nobody sent it", id, runs[0].Instance)
		return
	}
	if len(runs) > 1+l.unansweredSends(id) && !sent.Idempotent {
		v.breach(RuleDuplicate, id, "%s must run once and ran %d times", id, len(runs))
	}
	for _, run := range runs {
		if run.Zone != sent.Zone {
			v.CrossZone++
		}
		l.judgeRun(v, sent, run)
	}
}

// judgeAnswer holds an answer against the runs of its request.
func (l *Ledger) judgeAnswer(v *Verdict, id string, answer Answered) {
	switch {
	case answer.Outcome == "not-run":
		l.judgeRefusal(v, id)
	case answer.Outcome == "cut":
		v.interrupted(id + ": " + answer.ConnectionError)
	case answer.Outcome != "":
		v.Unknown++
		if answer.Status != http.StatusGatewayTimeout {
			v.LostEarly++
		}
	default:
		v.Good++
		if len(l.ran[id]) == 0 {
			v.breach(RuleWrongAnswer, id, "%s got an answer and never ran", id)
		}
	}
	if answer.Mismatch != "" {
		v.breach(RuleWrongAnswer, id, "%s got a wrong answer: %s", id, answer.Mismatch)
	}
}

// judgeRefusal judges a request that was promised not to have run.
func (l *Ledger) judgeRefusal(v *Verdict, id string) {
	unanswered := l.unansweredSends(id)
	if unanswered > 0 {
		v.interrupted(fmt.Sprintf("%s: sent %d times without an answer, then refused", id, unanswered))
	} else {
		v.NotRun++
	}
	// What may be repeated may have run any number of times of one sending.
	if ran := len(l.ran[id]); ran > unanswered && (unanswered == 0 || !l.sent[id].Idempotent) {
		v.breach(RuleRefused, id, "%s was promised not to have run and ran %d times", id, ran)
	}
}

// unansweredSends is how many sendings of a request the answer to it says nothing of.
func (l *Ledger) unansweredSends(id string) int {
	if l.sent[id].Keyed {
		return 0
	}
	return l.answered[id].UnansweredSends
}

func (l *Ledger) judgeRun(v *Verdict, s Sent, r Ran) {
	if r.Service != s.Service {
		v.breach(RuleRoute, s.ID, "%s was for %s and ran at %s of %s", s.ID, s.Service, r.Instance, r.Service)
	}
	if r.Digest != s.Digest {
		v.breach(RuleUnrequested, s.ID, "%s was altered on its way", s.ID)
	}
	if r.Caller != s.Caller {
		v.breach(RuleUnrequested, s.ID, "%s was sent by %q and told to be by %q", s.ID, s.Caller, r.Caller)
	}
	if at, ok := l.leaving[r.Instance]; ok && r.At.Sub(at) > drainLimit {
		v.breach(RuleDrain, s.ID, "%s ran at %s %v after it had left", s.ID, r.Instance, r.At.Sub(at))
	}
	for _, e := range l.evacuated[r.Zone] {
		if r.At.Sub(e.from) > evacuationLimit && (e.to.IsZero() || r.At.Before(e.to)) {
			v.breach(RuleEvacuation, s.ID, "%s ran in %s %v after it was to be emptied", s.ID, r.Zone, r.At.Sub(e.from))
		}
	}
}
