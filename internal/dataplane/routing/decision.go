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
	// defaultMaxAttempts bounds the attempts that reach a backend where the route sets no bound.
	defaultMaxAttempts = 3 // (ours)
	// maxAttemptsAtAll bounds all attempts, including those that reached no backend.
	maxAttemptsAtAll = 8 // (ours)
	// queueAfterRejections is after how many rejections a request may be queued beyond its
	// latency target.
	queueAfterRejections = 2 // (ours)
	// maxExpiredLeases is after how many sidecars with an expired lease a request ends, if this
	// sidecar's configuration is unconfirmed too: the others would reject it as well, and asking
	// them is a load that delays their confirmation.
	maxExpiredLeases = 2 // (ours)
	// capacityPollInterval is how often a waiting request looks for a backend with capacity.
	capacityPollInterval = 25 * time.Millisecond // (ours)
)

// Decision decides how one request goes on. The proxy calls Next for the next action, carries
// it out, and tells the result of each attempt with Record. All exported fields must be set
// before the first call; it is for use by one goroutine. (DESIGN 4.2)
type Decision struct {
	// Route is the request's route; its Service is the one that was picked for the request, to
	// which all attempts go.
	Route    config.Route
	Deadline time.Time
	// Zone is the zone of this node; its backends are preferred.
	Zone       string
	Rand       *rand.Rand
	Conditions Conditions

	attempts []AttemptResult
	// forgiven is how many of the attempts, from the first on, no longer exclude their targets
	// if they were rejected before they reached the backend.
	forgiven int
}

// Record takes the result of an attempt.
func (d *Decision) Record(result AttemptResult) { d.attempts = append(d.attempts, result) }

// Service returns the one service that all attempts go to.
func (d *Decision) Service() string { return d.Route.Service }

// Attempts lists the results of the attempts so far.
func (d *Decision) Attempts() []AttemptResult { return d.attempts }

// Next decides on the next action, given the snapshots of the routes and members as they are
// now.
func (d *Decision) Next(t *Table, v *membership.View, now time.Time) Action {
	if d.answered() {
		return Action{Kind: Respond}
	}
	past := d.history(now)
	if action, over := d.failIfOver(past); over {
		return action
	}
	target, queuePastTarget, ok := d.nextTarget(t, v, past, now)
	if !ok {
		return d.waitOrFail(past, now)
	}
	if !d.Conditions.AcceptLate && d.Conditions.unlikelyToFinish(target, d.Deadline.Sub(now)) && d.Rand.IntN(unlikelySampleRate) > 0 {
		return past.fail("the time left does not cover what it takes")
	}
	if past.reached > 0 && !d.Conditions.SpendRetry() {
		return past.fail("no means for another leg after: " + past.reason)
	}
	return Action{Kind: Send, Target: target, QueuePastTarget: queuePastTarget}
}

// answered reports whether the last attempt was answered.
func (d *Decision) answered() bool {
	n := len(d.attempts)
	return n > 0 && d.attempts[n-1].Outcome == Answered
}

// failIfOver ends the request if nothing more may be sent for it, whatever backends there are.
func (d *Decision) failIfOver(past history) (action Action, over bool) {
	if past.deadlineExceeded {
		return past.failWithStatus(http.StatusGatewayTimeout, past.reason), true
	}
	if reason := d.Conditions.abandonReason(); reason != "" {
		return past.fail(reason), true
	}
	if d.exhausted(past) || d.leasesExpired() {
		return past.fail(past.reason), true
	}
	return Action{}, false
}

// waitOrFail waits for a backend with capacity, as long as the request may wait, else ends the
// request. The rejections up to now do not exclude their backends after the wait.
func (d *Decision) waitOrFail(past history, now time.Time) Action {
	if now.Add(capacityPollInterval).Before(d.Conditions.WaitUntil) {
		d.forgiven = len(d.attempts)
		return Action{Kind: Wait, Wait: capacityPollInterval}
	}
	return past.fail(past.reason)
}

// exhausted reports whether no further attempt may be made: one of a request that is not
// idempotent may have run, or there were as many as are allowed.
func (d *Decision) exhausted(past history) bool {
	if past.outcome == Unknown && !d.Route.Idempotent {
		return true
	}
	return past.reached >= cmp.Or(d.Route.MaxAttempts, defaultMaxAttempts) || len(d.attempts) >= maxAttemptsAtAll
}

// leasesExpired reports whether no sidecar may be expected to admit the request now.
func (d *Decision) leasesExpired() bool {
	expired := 0
	for _, result := range d.attempts {
		if result.LeaseExpired {
			expired++
		}
	}
	return expired >= maxExpiredLeases && d.Conditions.ConfigurationUnconfirmed != nil && d.Conditions.ConfigurationUnconfirmed()
}
