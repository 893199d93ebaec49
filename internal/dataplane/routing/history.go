package routing

import (
	"cmp"
	"net/http"
	"time"
)

// defaultRetryAfter is the minimum time after which a rejected request should be resent if the
// conditions set none.
const defaultRetryAfter = time.Second

// history summarizes the attempts of a request so far.
type history struct {
	// outcome is NotRun only if every attempt is proven not to have run.
	outcome Outcome
	// reason is the reason of the last attempt.
	reason string
	// retryAfter is the minimum time after which the client should resend the request.
	retryAfter time.Duration
	// deadlineExceeded means that the deadline has passed on this node or at the last attempt's
	// backend.
	deadlineExceeded bool
	// reached is the number of attempts that reached, or may have reached, a backend. rejected is
	// the number of other attempts.
	reached, rejected int
}

// history returns a summary of the attempts so far.
func (d *Decision) history(now time.Time) history {
	past := history{
		outcome:          NotRun,
		reason:           "no backend of " + d.Route.Service,
		retryAfter:       cmp.Or(d.Conditions.RetryAfter, defaultRetryAfter),
		deadlineExceeded: !now.Before(d.Deadline),
	}
	for _, attempt := range d.attempts {
		past.reason = attempt.Reason
		past.retryAfter = max(past.retryAfter, attempt.RetryAfter)
		if attempt.Outcome == Unknown {
			past.outcome = Unknown
		}
		if attempt.ReachedBackend || attempt.Outcome == Unknown {
			past.reached++
		} else {
			past.rejected++
		}
	}
	if n := len(d.attempts); n > 0 && d.attempts[n-1].DeadlineExceeded {
		past.deadlineExceeded = true
	}
	return past
}

// fail ends the request with status 503 if it has not run, and 502 otherwise.
func (h history) fail(reason string) Action {
	if h.outcome == NotRun {
		return h.failWithStatus(http.StatusServiceUnavailable, reason)
	}
	return h.failWithStatus(http.StatusBadGateway, reason)
}

// failWithStatus ends the request with a status and the outcome and retry time of its attempts.
func (h history) failWithStatus(status int, reason string) Action {
	return Action{Kind: Fail, Failure: Failure{Status: status, Outcome: h.outcome, Reason: reason, RetryAfter: h.retryAfter}}
}
