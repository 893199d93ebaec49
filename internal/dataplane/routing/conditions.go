package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// Conditions are the limits of one request, and what is known of the backends that it may go
// to. (DESIGN 15.4)
type Conditions struct {
	// TargetTime is when the request is late.
	TargetTime time.Time
	// MaxLateness is how late the request may be at all: from TargetTime to its deadline.
	MaxLateness time.Duration
	// LatenessBudget is how late the request may be planned to be, so that its contract's
	// latency target is still met on average.
	LatenessBudget time.Duration
	// Latency is what was learned of the route's latency at a backend.
	Latency func(t membership.Target) LatencyHistogram
	// CrossZoneCost is the cost of leaving the own zone, as a share of the value of an answer
	// in time; zero: nearly none. It is weighed against the chance of being late.
	CrossZoneCost float64
	// WaitUntil is until when the request may wait for a backend with capacity; zero: not at
	// all.
	WaitUntil time.Time
	// AcceptLate says that an answer past TargetTime is better than none. Then the queue at the
	// backend decides, which knows more of the present than was learned.
	AcceptLate bool
	// RetryAfter is the least time after which a rejected client should send again; zero:
	// defaultRetryAfter.
	RetryAfter time.Duration
	// SpendRetry takes a retry from the retry budget; false if that is used up. It is asked for
	// each attempt after one that reached a backend.
	SpendRetry func() bool
	// AbandonReason, if set, tells why nothing more is to be done for the request: its client
	// has left, or this node is being stopped. An empty reason means to go on.
	AbandonReason func() string
	// ConfigurationUnconfirmed, if set, tells that a newer configuration than this node's may
	// be in force.
	ConfigurationUnconfirmed func() bool
}

const (
	// slowFactor is from which ratio of the medians on a backend counts as slower than another.
	slowFactor = 1.5 // (ours)
	// slowTargetDivisor is which part of the lateness budget may be spent on a slower backend.
	slowTargetDivisor = 4 // (ours)
	// crossZoneDivisor is which part of MaxLateness leaving the own zone must save, if
	// CrossZoneCost is zero.
	crossZoneDivisor = 100 // (ours)
	// spillUtilization is the utilization of the own zone from which on other zones are used.
	spillUtilization = 0.8 // (ours)
	// minFinishProbability is the least chance of finishing in the time left with which an
	// attempt is sent.
	minFinishProbability = 0.1 // (ours)
	// unlikelySampleRate is that one of so many attempts with less chance is sent all the same,
	// so that what was learned wrongly is corrected.
	unlikelySampleRate = 16 // (ours)
)

func (c *Conditions) abandonReason() string {
	if c.AbandonReason == nil {
		return ""
	}
	return c.AbandonReason()
}

// expectedLateness returns how late the request would be on average at a target.
func (c *Conditions) expectedLateness(t membership.Target, now time.Time) time.Duration {
	histogram := c.Latency(t)
	return histogram.ExpectedLateness(c.TargetTime.Sub(now), c.MaxLateness)
}

// onTimeProbability returns the chance of an answer in time at a target; 1 where too little is
// known.
func (c *Conditions) onTimeProbability(t membership.Target, now time.Time) float64 {
	histogram := c.Latency(t)
	if !histogram.Reliable() {
		return 1
	}
	return histogram.ShareWithin(c.TargetTime.Sub(now))
}

// withinLatenessBudget reports whether the request can afford a slower target.
func (c *Conditions) withinLatenessBudget(t membership.Target, now time.Time) bool {
	return c.expectedLateness(t, now) <= c.LatenessBudget/slowTargetDivisor
}

// prefer chooses between two targets, of which the first is the less utilized. A request that
// can afford a slower target takes it and leaves the faster one to others; one that can't takes
// the faster one unless that is full.
func (c *Conditions) prefer(a, b membership.Target, now time.Time) membership.Target {
	latencyA, latencyB := c.Latency(a), c.Latency(b)
	medianA, okA := latencyA.Quantile(0.5)
	medianB, okB := latencyB.Quantile(0.5)
	if !latencyA.Reliable() || !latencyB.Reliable() || okA == okB && float64(max(medianA, medianB)) < slowFactor*float64(min(medianA, medianB)) {
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

// shouldCrossZone reports whether to prefer a target in another zone to one in the own zone.
func (c *Conditions) shouldCrossZone(local, remote membership.Target, now time.Time) bool {
	if c.CrossZoneCost > 0 {
		// A full target rejects the attempt, and the next one leaves the zone all the same.
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

// onTimeGain returns the difference that another zone's target makes to the chance of an answer in
// time. Where the own zone's target is full and only the latency of the route at all backends is
// known of the other, that says nothing of a target without a queue: it is tried, and then
// judged by what is learned of it.
func (c *Conditions) onTimeGain(local, remote membership.Target, now time.Time) float64 {
	remoteProbability := c.onTimeProbability(remote, now)
	if latency := c.Latency(remote); latency.routeWide && utilization(local) >= 1 && utilization(remote) < 1 {
		remoteProbability = 1
	}
	return remoteProbability - c.onTimeProbability(local, now)
}

// unlikelyToFinish reports whether an attempt to a target would hardly be answered in the time
// left to the deadline.
func (c *Conditions) unlikelyToFinish(t membership.Target, remaining time.Duration) bool {
	histogram := c.Latency(t)
	return histogram.Reliable() && histogram.ShareWithin(remaining) < minFinishProbability
}
