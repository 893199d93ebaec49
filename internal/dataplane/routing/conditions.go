package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// Conditions are the limits of one request, and the measured state of the backends that may serve
// it. (DESIGN 15.4)
type Conditions struct {
	// TargetTime is the time after which the request counts as late.
	TargetTime time.Time
	// MaxLateness is the maximum lateness of the request: the time from TargetTime to its deadline.
	MaxLateness time.Duration
	// LatenessBudget is the lateness that may be planned for the request while its contract still
	// meets its objective on average; see retrybudget.LatencyBudgets.AllowedLateness.
	LatenessBudget time.Duration
	// Latency returns the measured latency of the request's route at a backend.
	Latency func(t membership.Target) LatencyHistogram
	// CrossZoneCost is the cost of sending the request to another zone, as a fraction of the value
	// of an answer in time. The request leaves the local zone if that increases the probability of
	// an answer in time by more than CrossZoneCost. Zero means that leaving the zone costs nearly
	// nothing. Utilization and expected lateness then decide instead; see spillUtilization and
	// crossZoneDivisor.
	CrossZoneCost float64
	// WaitUntil is the time until which the request may wait while no backend can be chosen. The
	// request does not wait if it is zero.
	WaitUntil time.Time
	// AcceptLate means that an answer after TargetTime is better than none. The queue at the
	// backend then decides whether to run the request, because its information is more recent than
	// the measured latencies.
	AcceptLate bool
	// RetryAfter is the minimum time after which a rejected client should resend the request. Zero
	// means defaultRetryAfter.
	RetryAfter time.Duration
	// WithdrawRetry takes a retry from the retry budget. It returns false if the budget is
	// exhausted. It is called before each attempt that follows an attempt that reached a backend.
	WithdrawRetry func() bool
	// AbandonReason, if set, returns why no further attempt is to be made, for example because the
	// client has disconnected or this node is stopping. It returns an empty string if the request
	// continues.
	AbandonReason func() string
	// ConfigurationUnconfirmed, if set, reports whether a configuration newer than this node's may
	// be in force.
	ConfigurationUnconfirmed func() bool
}

const (
	// slowMedianRatio is the ratio of median latencies from which a backend counts as slower than
	// another.
	slowMedianRatio = 1.5
	// slowTargetDivisor is the divisor of the lateness budget that gives the lateness a request may
	// accept from a slower backend.
	slowTargetDivisor = 4
	// crossZoneDivisor is the divisor of MaxLateness that gives the lateness that leaving the local
	// zone must save if CrossZoneCost is zero.
	crossZoneDivisor = 100
	// spillUtilization is the utilization of the local target from which a less utilized target in
	// another zone is preferred if CrossZoneCost is zero.
	spillUtilization = 0.8
	// minFinishProbability is the minimum probability of an answer before the deadline for an
	// attempt to be sent.
	minFinishProbability = 0.1
	// unlikelySampleInterval is the mean number of attempts below minFinishProbability of which one
	// is sent nevertheless, so that a wrong latency estimate is corrected.
	unlikelySampleInterval = 16
)

func (c *Conditions) abandonReason() string {
	if c.AbandonReason == nil {
		return ""
	}
	return c.AbandonReason()
}

// expectedLateness returns the mean lateness expected if the request is sent to a target.
func (c *Conditions) expectedLateness(t membership.Target, now time.Time) time.Duration {
	histogram := c.Latency(t)
	return histogram.ExpectedLateness(c.TargetTime.Sub(now), c.MaxLateness)
}

// onTimeProbability returns the probability of an answer in time from a target. It returns 1 if
// there are too few observations.
func (c *Conditions) onTimeProbability(t membership.Target, now time.Time) float64 {
	histogram := c.Latency(t)
	if !histogram.Reliable() {
		return 1
	}
	return histogram.ShareWithin(c.TargetTime.Sub(now))
}

// withinLatenessBudget reports whether the lateness expected at a slower target fits the lateness
// budget.
func (c *Conditions) withinLatenessBudget(t membership.Target, now time.Time) bool {
	return c.expectedLateness(t, now) <= c.LatenessBudget/slowTargetDivisor
}

// prefer chooses between two targets, of which a is the less utilized. It returns a if the
// latencies are unreliable or similar, or if a is the faster target. Medians that both fall among
// the attempts that missed the deadline count as similar. A request whose lateness budget allows a
// slower target takes a, which leaves the faster target to other requests. A request whose budget
// does not allow this takes the faster target unless that is full.
func (c *Conditions) prefer(a, b membership.Target, now time.Time) membership.Target {
	latencyA, latencyB := c.Latency(a), c.Latency(b)
	medianA, okA := latencyA.Quantile(0.5)
	medianB, okB := latencyB.Quantile(0.5)
	if !latencyA.Reliable() || !latencyB.Reliable() || okA == okB && float64(max(medianA, medianB)) < slowMedianRatio*float64(min(medianA, medianB)) {
		return a
	}
	switch slowerA := !okA || okB && medianA > medianB; {
	case slowerA && c.withinLatenessBudget(a, now):
		return a
	case slowerA && utilization(b) < 1:
		return b
	}
	return a
}

// shouldCrossZone reports whether a target in another zone is preferred to a target in the local
// zone.
func (c *Conditions) shouldCrossZone(local, remote membership.Target, now time.Time) bool {
	if c.CrossZoneCost > 0 {
		// A full target rejects the attempt, and the next attempt leaves the zone anyway.
		return c.onTimeGain(local, remote, now) > c.CrossZoneCost
	}
	latency := c.Latency(local)
	if latency.Reliable() && c.withinLatenessBudget(local, now) && utilization(local) < 1 {
		return false
	}
	if utilization(local) >= spillUtilization && utilization(remote) < utilization(local) {
		return true
	}
	return c.expectedLateness(remote, now)+c.MaxLateness/crossZoneDivisor < c.expectedLateness(local, now)
}

// onTimeGain returns by how much a target in another zone increases the probability of an answer in
// time. If the local target is full and the only estimate for the remote target is the route-wide
// one, that estimate says nothing about a target without a queue. The probability at the remote
// target is then taken as 1, so that the target is tried and its own latency is measured.
func (c *Conditions) onTimeGain(local, remote membership.Target, now time.Time) float64 {
	remoteProbability := c.onTimeProbability(remote, now)
	if latency := c.Latency(remote); latency.routeWide && utilization(local) >= 1 && utilization(remote) < 1 {
		remoteProbability = 1
	}
	return remoteProbability - c.onTimeProbability(local, now)
}

// unlikelyToFinish reports whether an answer to an attempt at a target is improbable in the time
// remaining to the deadline.
func (c *Conditions) unlikelyToFinish(t membership.Target, remaining time.Duration) bool {
	histogram := c.Latency(t)
	return histogram.Reliable() && histogram.ShareWithin(remaining) < minFinishProbability
}
