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
	// defaultMaxAttempts bounds the attempts that reach a backend if the route sets no bound.
	defaultMaxAttempts = 3
	// maxTotalAttempts bounds all attempts, including those that reached no backend.
	maxTotalAttempts = 8
	// queueAfterRejections is the number of rejections after which a request may be queued beyond
	// its latency target.
	queueAfterRejections = 2
	// maxExpiredLeases is the number of sidecars with an expired lease after which a request fails
	// if this sidecar's configuration is unconfirmed too. The remaining sidecars would reject the
	// request as well, and the load of further attempts delays their confirmation.
	maxExpiredLeases = 2
	// capacityPollInterval is the interval at which a waiting request looks for a backend with free
	// capacity.
	capacityPollInterval = 25 * time.Millisecond
)

// Decision decides the steps of one request. The proxy calls Next for the next action, carries it
// out, and passes the result of each attempt to Record. All exported fields must be set before the
// first call. A Decision is not safe for concurrent use. (DESIGN 4.2)
type Decision struct {
	// Route is the request's route. Its Service is the one picked for the request, and receives all
	// attempts.
	Route    config.Route
	Deadline time.Time
	// Zone is the zone of this node. Backends in this zone are preferred.
	Zone       string
	Rand       *rand.Rand
	Conditions Conditions

	attempts []AttemptResult
	// nonExcluding is the number of attempts, counted from the first, that no longer exclude their
	// targets if they were rejected before they reached the backend.
	nonExcluding int
}

// Record stores the result of an attempt.
func (d *Decision) Record(result AttemptResult) { d.attempts = append(d.attempts, result) }

// Service returns the service that receives all attempts.
func (d *Decision) Service() string { return d.Route.Service }

// Attempts returns the results of the attempts so far.
func (d *Decision) Attempts() []AttemptResult { return d.attempts }

// Next returns the next action, given the current snapshots of the routes and members.
func (d *Decision) Next(t *Table, v *membership.View, now time.Time) Action {
	if d.answered() {
		return Action{Kind: Respond}
	}
	past := d.history(now)
	if action, terminal := d.failIfTerminal(past); terminal {
		return action
	}
	target, queuePastTarget, ok := d.nextTarget(t, v, past, now)
	if !ok {
		return d.waitOrFail(past, now)
	}
	if !d.Conditions.AcceptLate && d.Conditions.unlikelyToFinish(target, d.Deadline.Sub(now)) && d.Rand.IntN(unlikelySampleInterval) > 0 {
		return past.fail("the time left does not cover what it takes")
	}
	if past.reached > 0 && !d.Conditions.WithdrawRetry() {
		return past.fail("no means for another leg after: " + past.reason)
	}
	return Action{Kind: Send, Target: target, QueuePastTarget: queuePastTarget}
}

// answered reports whether the last attempt was answered.
func (d *Decision) answered() bool {
	n := len(d.attempts)
	return n > 0 && d.attempts[n-1].Outcome == Answered
}

// failIfTerminal returns the failure of the request, and true, if no further attempt may be sent to
// any backend.
func (d *Decision) failIfTerminal(past history) (action Action, terminal bool) {
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

// waitOrFail waits for a backend with free capacity while the request may wait, and otherwise fails
// the request. After the wait, the rejections so far no longer exclude their backends.
func (d *Decision) waitOrFail(past history, now time.Time) Action {
	if now.Add(capacityPollInterval).Before(d.Conditions.WaitUntil) {
		d.nonExcluding = len(d.attempts)
		return Action{Kind: Wait, Wait: capacityPollInterval}
	}
	return past.fail(past.reason)
}

// exhausted reports whether no further attempt is allowed, because a request that is not idempotent
// may have run or because the maximum number of attempts has been made.
func (d *Decision) exhausted(past history) bool {
	if past.outcome == Unknown && !d.Route.Idempotent {
		return true
	}
	return past.reached >= cmp.Or(d.Route.MaxAttempts, defaultMaxAttempts) || len(d.attempts) >= maxTotalAttempts
}

// leasesExpired reports whether the remaining sidecars are expected to reject the request because
// of expired leases.
func (d *Decision) leasesExpired() bool {
	expired := 0
	for _, result := range d.attempts {
		if result.LeaseExpired {
			expired++
		}
	}
	return expired >= maxExpiredLeases && d.Conditions.ConfigurationUnconfirmed != nil && d.Conditions.ConfigurationUnconfirmed()
}
