package ledger

import (
	"fmt"
	"net/http"
	"time"
)

// Verdict is the judgement of a run.
type Verdict struct {
	// Sent, Ran and Answered count all requests, runs and answers. Good answers came from a
	// backend, NotRun and Unknown are the outcomes of the others.
	Sent, Ran, Answered, Good, NotRun, Unknown int
	// LostEarly counts the unknown outcomes that came before the deadline.
	LostEarly int
	// Interrupted counts requests that got no answer at all; Interruptions says how.
	Interrupted   int
	Interruptions []string
	// CrossZone counts runs in another zone than their sender's.
	CrossZone int
	// Spread is the most and the mean that one backend ran, by service.
	Spread map[string]string
	// Breaches lists the broken rules.
	Breaches []Breach
}

// The users' limits of how long a backend or a zone may still get requests.
const (
	drainLimit      = 2 * time.Second
	evacuationLimit = 5 * time.Second
)

// breach records a broken rule.
func (v *Verdict) breach(rule Rule, id, format string, args ...any) {
	v.Breaches = append(v.Breaches, Breach{Rule: rule, ID: id, Text: fmt.Sprintf(format, args...)})
}

// interrupted counts a request that got no answer.
func (v *Verdict) interrupted(how string) {
	v.Interrupted++
	v.Interruptions = append(v.Interruptions, how)
}

// Judge judges the records once all clients have stopped.
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

// judgeRuns judges all runs of a request.
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

// judgeAnswer judges an answer by the runs of its request.
func (l *Ledger) judgeAnswer(v *Verdict, id string, answer Answered) {
	switch {
	case answer.Outcome == OutcomeNotRun:
		l.judgeRefusal(v, id)
	case answer.Outcome == OutcomeInterrupted:
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
	// An idempotent request may have run any number of times for one send.
	if ran := len(l.ran[id]); ran > unanswered && (unanswered == 0 || !l.sent[id].Idempotent) {
		v.breach(RuleRefused, id, "%s was promised not to have run and ran %d times", id, ran)
	}
}

// unansweredSends is how many sends of a request its answer says nothing of.
func (l *Ledger) unansweredSends(id string) int {
	if l.sent[id].Keyed {
		return 0
	}
	return l.answered[id].UnansweredSends
}

// judgeRun judges one run.
func (l *Ledger) judgeRun(v *Verdict, s Sent, r Ran) {
	if r.Service != s.Service {
		v.breach(RuleRoute, s.ID, "%s was for %s and ran at %s of %s", s.ID, s.Service, r.Instance, r.Service)
	}
	if r.Digest != s.Digest {
		v.breach(RuleUnrequested, s.ID, "%s was altered on its way", s.ID)
	}
	if r.Caller != s.Caller {
		v.breach(RuleUnrequested, s.ID, "%s was sent by %q and reported to be from %q", s.ID, s.Caller, r.Caller)
	}
	if at, ok := l.leaving[r.Instance]; ok && r.At.Sub(at) > drainLimit {
		v.breach(RuleDrain, s.ID, "%s ran at %s %v after it had left", s.ID, r.Instance, r.At.Sub(at))
	}
	for _, e := range l.evacuated[r.Zone] {
		if r.At.Sub(e.from) > evacuationLimit && (e.to.IsZero() || r.At.Before(e.to)) {
			v.breach(RuleEvacuation, s.ID, "%s ran in %s %v after its evacuation", s.ID, r.Zone, r.At.Sub(e.from))
		}
	}
}
