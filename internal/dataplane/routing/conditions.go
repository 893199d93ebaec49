package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// Conditions is what a request may spend of its contract's budget, and what is known
// of the places that it may go to. (DESIGN 15.4)
type Conditions struct {
	// TargetTime is when the request is late; Room is how late it may be at all.
	TargetTime  time.Time
	MaxLateness time.Duration
	// LatenessBudget is how late it may be planned to be.
	LatenessBudget time.Duration
	// Latency is what was learned of its way at a backend.
	Latency func(t membership.Target) LatencyHistogram
	// CrossZoneCost is the price of leaving the own zone, as a part of what being in time
	// is worth; zero: nearly none. It is weighed against the chance of being late.
	CrossZoneCost float64
	// WaitUntil is until when it may be held for a place where there is none now; zero: not
	// at all.
	WaitUntil time.Time
	// AcceptLate says that an answer past the aim is better than none. Then the line at the
	// backend decides, which knows more of now than what was learned does.
	AcceptLate bool
	// RetryAfter is when to come again at the soonest, if it is refused; zero: a second.
	RetryAfter time.Duration
	// SpendRetry pays for an extra attempt after one that came to a backend.
	SpendRetry func() bool
	// AbandonReason, if set, tells why nothing more is to be done for the request, since its
	// client has left or this node is being stopped; empty: it is wanted.
	AbandonReason func() string
	// ConfigurationUnconfirmed, if set, tells whether the near sidecar too is not sure of the newest word.
	ConfigurationUnconfirmed func() bool
}

const (
	// slowFactor is by how much more a backend must take to count as a slow one.
	slowFactor = 1.5 // (ours)
	// slowTargetDivisor is the part of the patience that is spent on slower places.
	slowTargetDivisor = 4 // (ours)
	// crossZoneDivisor is the price of leaving the own zone, as a part of the room.
	crossZoneDivisor = 100 // (ours)
	// minFinishProbability is the share of attempts that must come back in the time left.
	minFinishProbability = 0.1 // (ours)
	// unlikelySampleRate is one of how many hopeless requests is sent all the same, so that
	// a wrong lesson heals.
	unlikelySampleRate = 16 // (ours)
)

func (m *Conditions) abandonReason() string {
	if m.AbandonReason == nil {
		return ""
	}
	return m.AbandonReason()
}

// expectedLateness is how late the request would be at a place.
func (m *Conditions) expectedLateness(t membership.Target, now time.Time) time.Duration {
	c := m.Latency(t)
	return c.ExpectedLateness(m.TargetTime.Sub(now), m.MaxLateness)
}

// onTimeProbability is the chance of being in time at a place.
func (m *Conditions) onTimeProbability(t membership.Target, now time.Time) float64 {
	c := m.Latency(t)
	if !c.Reliable() {
		return 1
	}
	return c.ShareWithin(m.TargetTime.Sub(now))
}

// withinLatenessBudget tells whether the budget bears a place.
func (m *Conditions) withinLatenessBudget(t membership.Target, now time.Time) bool {
	return m.expectedLateness(t, now) <= m.LatenessBudget/slowTargetDivisor
}

// prefer chooses between two places of which the first is the less busy. A
// contract with room takes a slower one and leaves the quick one to others; one
// without takes the quick one as long as that is not full.
func (m *Conditions) prefer(a, b membership.Target, now time.Time) membership.Target {
	ca, cb := m.Latency(a), m.Latency(b)
	da, okA := ca.Quantile(0.5)
	db, okB := cb.Quantile(0.5)
	if !ca.Reliable() || !cb.Reliable() || okA == okB && float64(max(da, db)) < slowFactor*float64(min(da, db)) {
		return a
	}
	switch aSlow := !okA || okB && da > db; {
	case aSlow && m.withinLatenessBudget(a, now):
		return a
	case aSlow && utilization(b) < 1:
		return b
	}
	return a
}

// shouldCrossZone tells whether to leave the own zone for a place in another.
func (m *Conditions) shouldCrossZone(local, remote membership.Target, now time.Time) bool {
	if m.CrossZoneCost > 0 {
		// A place that is full refuses, and then one crosses all the same.
		remoteProbability := m.onTimeProbability(remote, now)
		if c := m.Latency(remote); c.routeWide && utilization(local) >= 1 && utilization(remote) < 1 {
			// What was learned in the line of the own zone says nothing of a place
			// without one. It is tried, and then judged by what it does.
			remoteProbability = 1
		}
		return remoteProbability-m.onTimeProbability(local, now) > m.CrossZoneCost
	}
	c := m.Latency(local)
	if c.Reliable() && m.withinLatenessBudget(local, now) && utilization(local) < 1 {
		return false
	}
	if utilization(local) >= spillUtilization && utilization(remote) < utilization(local) {
		return true
	}
	return m.expectedLateness(remote, now)+m.MaxLateness/crossZoneDivisor < m.expectedLateness(local, now)
}

// unlikelyToFinish tells whether an attempt to a place would hardly come back in the time left.
func (m *Conditions) unlikelyToFinish(t membership.Target, left time.Duration) bool {
	c := m.Latency(t)
	return c.Reliable() && c.ShareWithin(left) < minFinishProbability
}
