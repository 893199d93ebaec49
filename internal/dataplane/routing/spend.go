package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// Means is what a request may spend of its contract's budget, and what is known
// of the places that it may go to. (DESIGN 15.4)
type Means struct {
	// Aim is when the request is late; Room is how late it may be at all.
	Aim  time.Time
	Room time.Duration
	// Patience is how late it may be planned to be.
	Patience time.Duration
	// Cost is what was learned of its way at a backend.
	Cost func(t membership.Target) Cost
	// Crossing is the price of leaving the own zone, as a part of what being in time
	// is worth; zero: nearly none. It is weighed against the chance of being late.
	Crossing float64
	// Hold is until when it may be held for a place where there is none now; zero: not
	// at all.
	Hold time.Time
	// Late says that an answer past the aim is better than none. Then the line at the
	// backend decides, which knows more of now than what was learned does.
	Late bool
	// Back is when to come again at the soonest, if it is refused; zero: a second.
	Back time.Duration
	// Spend pays for an extra attempt after one that came to a backend.
	Spend func() bool
	// Unwanted, if set, tells why nothing more is to be done for the request, since its
	// client has left or this node is being stopped; empty: it is wanted.
	Unwanted func() string
	// Unsure, if set, tells whether the near sidecar too is not sure of the newest word.
	Unsure func() bool
}

const (
	// slower is by how much more a backend must take to count as a slow one.
	slower = 1.5 // (ours)
	// forPlaces is the part of the patience that is spent on slower places.
	forPlaces = 4 // (ours)
	// crossing is the price of leaving the own zone, as a part of the room.
	crossing = 100 // (ours)
	// hopeless is the share of attempts that must come back in the time left.
	hopeless = 0.1 // (ours)
	// trickle is one of how many hopeless requests is sent all the same, so that
	// a wrong lesson heals.
	trickle = 16 // (ours)
)

func (m *Means) unwanted() string {
	if m.Unwanted == nil {
		return ""
	}
	return m.Unwanted()
}

// late is how late the request would be at a place.
func (m *Means) late(t membership.Target, now time.Time) time.Duration {
	c := m.Cost(t)
	return c.Lateness(m.Aim.Sub(now), m.Room)
}

// inTime is the chance of being in time at a place.
func (m *Means) inTime(t membership.Target, now time.Time) float64 {
	c := m.Cost(t)
	if !c.Known() {
		return 1
	}
	return c.Within(m.Aim.Sub(now))
}

// bears tells whether the budget bears a place.
func (m *Means) bears(t membership.Target, now time.Time) bool {
	return m.late(t, now) <= m.Patience/forPlaces
}

// prefer chooses between two places of which the first is the less busy. A
// contract with room takes a slower one and leaves the quick one to others; one
// without takes the quick one as long as that is not full.
func (m *Means) prefer(a, b membership.Target, now time.Time) membership.Target {
	ca, cb := m.Cost(a), m.Cost(b)
	da, okA := ca.Quantile(0.5)
	db, okB := cb.Quantile(0.5)
	if !ca.Known() || !cb.Known() || okA == okB && float64(max(da, db)) < slower*float64(min(da, db)) {
		return a
	}
	switch aSlow := !okA || okB && da > db; {
	case aSlow && m.bears(a, now):
		return a
	case aSlow && fill(b) < 1:
		return b
	}
	return a
}

// crosses tells whether to leave the own zone for a place in another.
func (m *Means) crosses(near, far membership.Target, now time.Time) bool {
	if m.Crossing > 0 {
		// A place that is full refuses, and then one crosses all the same.
		there := m.inTime(far, now)
		if c := m.Cost(far); c.lent && fill(near) >= 1 && fill(far) < 1 {
			// What was learned in the line of the own zone says nothing of a place
			// without one. It is tried, and then judged by what it does.
			there = 1
		}
		return there-m.inTime(near, now) > m.Crossing
	}
	c := m.Cost(near)
	if c.Known() && m.bears(near, now) && fill(near) < 1 {
		return false
	}
	if fill(near) >= spillAt && fill(far) < fill(near) {
		return true
	}
	return m.late(far, now)+m.Room/crossing < m.late(near, now)
}

// vain tells whether an attempt to a place would hardly come back in the time left.
func (m *Means) vain(t membership.Target, left time.Duration) bool {
	c := m.Cost(t)
	return c.Known() && c.Within(left) < hopeless
}
