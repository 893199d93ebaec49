package routing

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

const (
	// defaultMaxAttempts is how many attempts a request has whose way does not say.
	defaultMaxAttempts = 3 // (ours)
	// maxAttemptsAtAll is how many it has, those that came to no backend counted in.
	maxAttemptsAtAll = 8 // (ours)
	// queueAfterRejections is after how many refusals a request rather stands in line to be
	// late.
	queueAfterRejections = 2 // (ours)
	// maxExpiredLeases is after how many sidecars that are not sure of the newest word an
	// request ends whose own sidecar isn't either: the others would refuse it too, and
	// asking them is a load that keeps them from becoming sure.
	maxExpiredLeases = 2 // (ours)
	// capacityPollInterval is how long one that is held waits before it is asked about again.
	capacityPollInterval = 25 * time.Millisecond // (ours)
	// spillUtilization is how busy the own zone must be before others are used.
	spillUtilization = 0.8 // (ours)
)

// Decision is the object that is asked about one request. The executor obeys
// it and tells it what came of each attempt. (DESIGN 4.2)
type Decision struct {
	// Way has as its Service the one that was picked for the request.
	Route      config.Route
	Deadline   time.Time
	Zone       string
	Rand       *rand.Rand
	Conditions Conditions
	attempts   []AttemptResult
	// forgiven is how many of the attempts no longer tell against their targets.
	forgiven int
}

// Record takes the fate of an attempt.
func (d *Decision) Record(result AttemptResult) { d.attempts = append(d.attempts, result) }

// Service is the one service that all attempts go to.
func (d *Decision) Service() string { return d.Route.Service }

// Attempts lists the attempts so far.
func (d *Decision) Attempts() []AttemptResult { return d.attempts }

// history is what is known from the attempts so far.
type history struct {
	// outcome is NotRun only if every attempt is proven not to have run.
	outcome Outcome
	reason  string
	// retryAfter is when the client may try again at the soonest.
	retryAfter time.Duration
	// deadlineExceeded tells that the deadline has passed here or at an attempt's backend.
	deadlineExceeded bool
	// reached counts the attempts that came to a backend or may have; turned counts
	// those that were refused before.
	reached, rejected int
}

// fail ends the request with what is known.
func (h history) fail(status int, reason string) Action {
	return failWith(status, h.outcome, reason, h.retryAfter)
}

// history sums up the attempts so far.
func (d *Decision) history(now time.Time) history {
	past := history{
		outcome:          NotRun,
		reason:           "no backend of " + d.Route.Service,
		retryAfter:       cmp.Or(d.Conditions.RetryAfter, time.Second),
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

// Next decides what comes next, on the snapshots as they are now.
func (d *Decision) Next(t *Table, v *membership.View, now time.Time) Action {
	if n := len(d.attempts); n > 0 && d.attempts[n-1].Outcome == Answered {
		return Action{}
	}
	past := d.history(now)
	if past.deadlineExceeded {
		return past.fail(http.StatusGatewayTimeout, past.reason)
	}
	if why := d.Conditions.abandonReason(); why != "" {
		return past.fail(statusFor(past.outcome), why)
	}
	if d.exhausted(past) || d.leasesExpired() {
		return past.fail(statusFor(past.outcome), past.reason)
	}
	target, patient, ok := d.nextTarget(t, v, past, now)
	if !ok && now.Add(capacityPollInterval).Before(d.Conditions.WaitUntil) {
		// Those that refused it without a backend's having seen it may be asked again.
		d.forgiven = len(d.attempts)
		return Action{Wait: capacityPollInterval}
	}
	if !ok {
		return past.fail(statusFor(past.outcome), past.reason)
	}
	if !d.Conditions.AcceptLate && d.Conditions.unlikelyToFinish(target, d.Deadline.Sub(now)) && d.Rand.IntN(unlikelySampleRate) > 0 {
		return past.fail(statusFor(past.outcome), "the time left does not cover what it takes")
	}
	if past.reached > 0 && !d.Conditions.SpendRetry() {
		return past.fail(statusFor(past.outcome), "no means for another leg after: "+past.reason)
	}
	return Action{Send: true, Target: target, QueuePastTarget: patient}
}

// exhausted tells whether no further attempt may be made: one may have run that
// must not run twice, or there were as many as the route allows.
func (d *Decision) exhausted(past history) bool {
	if past.outcome == Unknown && !d.Route.Idempotent {
		return true
	}
	return past.reached >= cmp.Or(d.Route.MaxAttempts, defaultMaxAttempts) || len(d.attempts) >= maxAttemptsAtAll
}

// nextTarget chooses where the next attempt goes. A patient one was refused before and
// rather waits in line to be late: it may go to those that refused it, too.
func (d *Decision) nextTarget(t *Table, v *membership.View, past history, now time.Time) (nextTarget membership.Target, patient, ok bool) {
	patient = d.Conditions.AcceptLate && past.rejected >= queueAfterRejections
	if patient {
		d.forgiven = len(d.attempts)
	}
	nextTarget, ok = d.chooseTarget(t, v, now)
	if ok || !d.Conditions.AcceptLate || past.rejected == 0 {
		return nextTarget, patient, ok
	}
	d.forgiven = len(d.attempts)
	nextTarget, ok = d.chooseTarget(t, v, now)
	return nextTarget, true, ok
}

// leasesExpired tells whether nobody may be expected to admit the request now.
func (d *Decision) leasesExpired() bool {
	n := 0
	for _, result := range d.attempts {
		if result.LeaseExpired {
			n++
		}
	}
	return n >= maxExpiredLeases && d.Conditions.ConfigurationUnconfirmed != nil && d.Conditions.ConfigurationUnconfirmed()
}

func statusFor(f Outcome) int {
	if f == NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func failWith(status int, f Outcome, reason string, back time.Duration) Action {
	return Action{Failure: Failure{Status: status, Outcome: f, Reason: reason, RetryAfter: back}}
}

// chooseTarget takes one of two random backends, of the own zone first.
func (d *Decision) chooseTarget(t *Table, v *membership.View, now time.Time) (membership.Target, bool) {
	var local, remote, ejected []membership.Target
	for _, c := range v.Service(d.Route.Service) {
		switch {
		case c.Draining || t.ZoneDrained(c.Zone) || d.attempted(c):
		case c.Load.Ejected():
			ejected = append(ejected, c)
		case c.Zone == d.Zone:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	best, ok := d.pickOfTwo(local, now)
	if other, okRemote := d.pickOfTwo(remote, now); okRemote && (!ok || d.Conditions.shouldCrossZone(best, other, now)) {
		best, ok = other, true
	}
	if !ok {
		best, ok = d.pickOfTwo(ejected, now)
	}
	return best, ok
}

// pickOfTwo takes the better of two random places.
func (d *Decision) pickOfTwo(from []membership.Target, now time.Time) (membership.Target, bool) {
	if len(from) == 0 {
		return membership.Target{}, false
	}
	i := d.Rand.IntN(len(from))
	a := from[i]
	if len(from) == 1 {
		return a, true
	}
	b := from[(i+1+d.Rand.IntN(len(from)-1))%len(from)]
	if utilization(b) < utilization(a) {
		a, b = b, a
	}
	return d.Conditions.prefer(a, b, now), true
}

// utilization is the share of what a backend can bear that is taken.
func utilization(t membership.Target) float64 {
	return float64(t.Load.EstimateOpen()) / max(1, float64(t.Capacity)*t.CapacityShare)
}

func (d *Decision) attempted(t membership.Target) bool {
	for i, result := range d.attempts {
		if i < d.forgiven && !result.ReachedBackend && result.Outcome == NotRun {
			continue
		}
		if result.Target.Node == t.Node && result.Target.Instance == t.Instance && result.Target.Incarnation == t.Incarnation {
			return true
		}
	}
	return false
}
