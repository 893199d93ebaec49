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
	Cause      string // the request that a backend was working on, if one sent it
	Caller     string // the calling service, or ""
	Service    string
	Zone       string // where its sender stands
	Digest     string
	Repeatable bool
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
	// Wrong says what is wrong with the answer, if anything.
	Wrong string
	// Cut says how the connection ended, if it ended without an answer.
	Cut string
	// Again counts the sendings before the one that was answered, which ended without
	// an answer and which its sender's HTTP client repeated by itself.
	Again int
	At    time.Time
}

// Left is a backend that said it was leaving.
type Left struct {
	Instance string
	At       time.Time
}

// Ledger collects the records of one run.
type Ledger struct {
	mu       sync.Mutex
	sent     map[string]Sent
	ran      map[string][]Ran
	answered map[string]Answered
	planned  map[string][]Planned
	left     map[string]time.Time
	emptied  map[string][]span
}

type span struct{ from, to time.Time }

// New makes an empty ledger.
func New() *Ledger {
	return &Ledger{sent: map[string]Sent{}, ran: map[string][]Ran{}, planned: map[string][]Planned{}, answered: map[string]Answered{}, left: map[string]time.Time{}, emptied: map[string][]span{}}
}

func (l *Ledger) with(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
}

// Sent records a request before it goes out.
func (l *Ledger) Sent(s Sent) { l.with(func() { l.sent[s.ID] = s }) }

// Ran records a run as it begins.
func (l *Ledger) Ran(r Ran) { l.with(func() { l.ran[r.ID] = append(l.ran[r.ID], r) }) }

// Planned is how long a backend would work on a request, and when it ended.
type Planned struct {
	ID       string
	Instance string
	Begun    time.Time
	Work     time.Duration
	Ended    time.Time
}

// Planned records a run's work as it begins; ended is called at its end.
func (l *Ledger) Planned(p Planned) (ended func()) {
	return func() {
		p.Ended = time.Now()
		l.with(func() { l.planned[p.ID] = append(l.planned[p.ID], p) })
	}
}

// Runs lists the runs of a request, and the work that has ended.
func (l *Ledger) Runs(id string) (runs []Ran, work []Planned) {
	l.with(func() { runs, work = slices.Clone(l.ran[id]), slices.Clone(l.planned[id]) })
	return runs, work
}

// LeftAt tells when a backend's first word of leaving was taken.
func (l *Ledger) LeftAt(instance string) (at time.Time, left bool) {
	l.with(func() { at, left = l.left[instance] })
	return at, left
}

// Answered records an answer.
func (l *Ledger) Answered(a Answered) { l.with(func() { l.answered[a.ID] = a }) }

// Left records that a backend's word of leaving was taken: its first one counts.
func (l *Ledger) Left(x Left) {
	l.with(func() {
		if _, known := l.left[x.Instance]; !known {
			l.left[x.Instance] = x.At
		}
	})
}

// Emptied records that a zone was asked to be emptied; taken back ends it.
func (l *Ledger) Emptied(zone string, at time.Time) {
	l.with(func() { l.emptied[zone] = append(l.emptied[zone], span{from: at}) })
}

// TakenBack records that an emptied zone was asked back.
func (l *Ledger) TakenBack(zone string, at time.Time) {
	l.with(func() { s := l.emptied[zone]; s[len(s)-1].to = at })
}

// Link is an inner call as the stand-ins know it.
type Link struct {
	ID, Cause, Trace, Span string
}

// Inner lists the inner calls that ran.
func (l *Ledger) Inner() (out []Link) {
	l.with(func() {
		for id, runs := range l.ran {
			if s := l.sent[id]; s.Cause != "" {
				out = append(out, Link{ID: id, Cause: s.Cause, Trace: runs[0].Trace, Span: runs[0].Span})
			}
		}
	})
	return out
}

// Spans tells with which identifiers a request ran.
func (l *Ledger) Spans(id string) (r Ran, ok bool) {
	l.with(func() {
		if runs := l.ran[id]; len(runs) > 0 {
			r, ok = runs[0], true
		}
	})
	return r, ok
}

// Verdict is a run's judgement.
type Verdict struct {
	Sent, Ran, Answered, Good, NotRun, Unknown int
	// Lost counts those of the unknown whose time was not over.
	Lost int
	// Cut counts requests that were handed over and got no answer at all.
	Cut int
	// Crossed counts runs in another zone than their sender's.
	Crossed int
	// Spread is the most and the mean that one backend ran, by service.
	Spread map[string]string
	// Cuts says how, for some of them.
	Cuts []string
	// Broken lists what must never happen and did.
	Broken []Breach
}

const (
	leaveWithin = 2 * time.Second
	emptyWithin = 5 * time.Second
)

// broken notes that something happened that must never.
func (v *Verdict) broken(rule Rule, id, format string, args ...any) {
	v.Broken = append(v.Broken, Breach{Rule: rule, ID: id, Text: fmt.Sprintf(format, args...)})
}

// cut counts a request that got no answer, and says how.
func (v *Verdict) cut(how string) {
	v.Cut++
	v.Cuts = append(v.Cuts, how)
}

// Judge checks the records, once all callers have stopped.
func (l *Ledger) Judge() Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := Verdict{Sent: len(l.sent), Answered: len(l.answered)}
	for id, runs := range l.ran {
		l.judgeRuns(&v, id, runs)
	}
	l.judgeExtra(&v)
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
		v.broken(RuleUnasked, id, "%s ran at %s, but nobody sent it", id, runs[0].Instance)
		return
	}
	if len(runs) > 1+l.again(id) && !sent.Repeatable {
		v.broken(RuleTwice, id, "%s must run once and ran %d times", id, len(runs))
	}
	for _, run := range runs {
		if run.Zone != sent.Zone {
			v.Crossed++
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
		v.cut(id + ": " + answer.Cut)
	case answer.Outcome != "":
		v.Unknown++
		if answer.Status != http.StatusGatewayTimeout {
			v.Lost++
		}
	default:
		v.Good++
		if len(l.ran[id]) == 0 {
			v.broken(RuleMixed, id, "%s got an answer and never ran", id)
		}
	}
	if answer.Wrong != "" {
		v.broken(RuleMixed, id, "%s got a wrong answer: %s", id, answer.Wrong)
	}
}

// judgeRefusal judges a request that was promised not to have run.
func (l *Ledger) judgeRefusal(v *Verdict, id string) {
	again := l.again(id)
	if again > 0 {
		v.cut(fmt.Sprintf("%s: sent %d times without an answer, then refused", id, again))
	} else {
		v.NotRun++
	}
	// What may be repeated may have run any number of times of one sending.
	if ran := len(l.ran[id]); ran > again && (again == 0 || !l.sent[id].Repeatable) {
		v.broken(RuleRefused, id, "%s was promised not to have run and ran %d times", id, ran)
	}
}

// again is how many sendings of a request the answer to it says nothing of.
func (l *Ledger) again(id string) int {
	if l.sent[id].Keyed {
		return 0
	}
	return l.answered[id].Again
}

func (l *Ledger) judgeRun(v *Verdict, s Sent, r Ran) {
	if r.Service != s.Service {
		v.broken(RuleRoute, s.ID, "%s was for %s and ran at %s of %s", s.ID, s.Service, r.Instance, r.Service)
	}
	if r.Digest != s.Digest {
		v.broken(RuleUnasked, s.ID, "%s was altered on its way", s.ID)
	}
	if r.Caller != s.Caller {
		v.broken(RuleUnasked, s.ID, "%s was sent by %q and told to be by %q", s.ID, s.Caller, r.Caller)
	}
	if at, ok := l.left[r.Instance]; ok && r.At.Sub(at) > leaveWithin {
		v.broken(RuleDrain, s.ID, "%s ran at %s %v after it had left", s.ID, r.Instance, r.At.Sub(at))
	}
	for _, e := range l.emptied[r.Zone] {
		if r.At.Sub(e.from) > emptyWithin && (e.to.IsZero() || r.At.Before(e.to)) {
			v.broken(RuleEvac, s.ID, "%s ran in %s %v after it was to be emptied", s.ID, r.Zone, r.At.Sub(e.from))
		}
	}
}
