package ledger

import (
	"fmt"
	"net/http"
	"time"
)

// Verdict is the result of checking the records of a test run.
type Verdict struct {
	// Sent, Ran and Answered count all requests, runs and answers. Succeeded counts the answers
	// from backends. NotRun and Unknown count the answers of sidecars with these outcomes.
	Sent, Ran, Answered, Succeeded, NotRun, Unknown int
	// UnknownBeforeDeadline counts the unknown outcomes that were reported before the request's
	// deadline.
	UnknownBeforeDeadline int
	// Interrupted counts the requests that got no answer, and the refused ones of which an
	// earlier send got no answer. Interruptions describes each of them.
	Interrupted   int
	Interruptions []string
	// CrossZone counts the runs in a zone other than the sender's.
	CrossZone int
	// Spread is the highest and the mean number of runs of a backend, by service.
	Spread map[string]string
	// Breaches lists the violations of rules.
	Breaches []Breach
}

// The users' limits on how long requests may still run at a backend after it announced leaving,
// and in a zone after its evacuation was requested.
const (
	drainLimit      = 2 * time.Second
	evacuationLimit = 5 * time.Second
)

// breach records the violation of a rule.
func (v *Verdict) breach(rule Rule, id, format string, args ...any) {
	v.Breaches = append(v.Breaches, Breach{Rule: rule, ID: id, Text: fmt.Sprintf(format, args...)})
}

// interrupted counts a request in Interrupted and adds its description to Interruptions.
func (v *Verdict) interrupted(how string) {
	v.Interrupted++
	v.Interruptions = append(v.Interruptions, how)
}

// Judge checks all records against the rules. It must be called after all clients have stopped.
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

// judgeRuns checks all runs of a request.
func (l *Ledger) judgeRuns(v *Verdict, id string, runs []Ran) {
	v.Ran += len(runs)
	sent, ok := l.sent[id]
	if !ok {
		v.breach(RuleUnrequested, id, "%s ran at %s, but it was never sent", id, runs[0].Instance)
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

// judgeAnswer checks an answer against the runs of its request.
func (l *Ledger) judgeAnswer(v *Verdict, id string, answer Answered) {
	switch {
	case answer.Outcome == OutcomeNotRun:
		l.judgeRefusal(v, id)
	case answer.Outcome == OutcomeInterrupted:
		v.interrupted(id + ": " + answer.ConnectionError)
	case answer.Outcome != "":
		v.Unknown++
		if answer.Status != http.StatusGatewayTimeout {
			v.UnknownBeforeDeadline++
		}
	default:
		v.Succeeded++
		if len(l.ran[id]) == 0 {
			v.breach(RuleWrongAnswer, id, "%s got an answer and never ran", id)
		}
	}
	if answer.Mismatch != "" {
		v.breach(RuleWrongAnswer, id, "%s got a wrong answer: %s", id, answer.Mismatch)
	}
}

// judgeRefusal checks a request whose answer said that it was not run.
func (l *Ledger) judgeRefusal(v *Verdict, id string) {
	unanswered := l.unansweredSends(id)
	if unanswered > 0 {
		v.interrupted(fmt.Sprintf("%s: sent %d times without an answer, then refused", id, unanswered))
	} else {
		v.NotRun++
	}
	// An unanswered send of an idempotent request may have caused any number of runs.
	if ran := len(l.ran[id]); ran > unanswered && (unanswered == 0 || !l.sent[id].Idempotent) {
		v.breach(RuleRefused, id, "%s was promised not to have run and ran %d times", id, ran)
	}
}

// unansweredSends returns how many sends of a request its answer does not cover. The answer to a
// request with an idempotency key covers all sends.
func (l *Ledger) unansweredSends(id string) int {
	if l.sent[id].Keyed {
		return 0
	}
	return l.answered[id].UnansweredSends
}

// judgeRun checks the service, digest, caller, backend and zone of one run.
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
