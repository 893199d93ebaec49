package routing

import (
	"cmp"
	"net/http"
	"time"
)

// defaultRetryAfter is the least time after which a rejected request should be sent again, where
// the conditions set none.
const defaultRetryAfter = time.Second // (ours)

// history is what is known of a request from its attempts so far.
type history struct {
	// outcome is NotRun only if every attempt is proven not to have run.
	outcome Outcome
	// reason is that of the last attempt.
	reason string
	// retryAfter is the least time after which the client should send the request again.
	retryAfter time.Duration
	// deadlineExceeded tells that the deadline has passed here, or at the last attempt's backend.
	deadlineExceeded bool
	// reached counts the attempts that reached a backend or may have; rejected counts the others.
	reached, rejected int
}

// history sums up the attempts so far.
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

// fail ends the request with the status of its outcome: 503 if it has not run, else 502.
func (h history) fail(reason string) Action {
	if h.outcome == NotRun {
		return h.failWithStatus(http.StatusServiceUnavailable, reason)
	}
	return h.failWithStatus(http.StatusBadGateway, reason)
}

// failWithStatus ends the request with what is known of it.
func (h history) failWithStatus(status int, reason string) Action {
	return Action{Kind: Fail, Failure: Failure{Status: status, Outcome: h.outcome, Reason: reason, RetryAfter: h.retryAfter}}
}
