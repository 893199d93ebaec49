package dataplane

import (
	"slices"
	"time"
)

// acknowledgeTimeout is the maximum time for which a backend that is leaving waits until the control
// state records its departure. Backends treat one second without a response as a failure.
const acknowledgeTimeout = 900 * time.Millisecond

// pendingDepartures holds departures of own backends that have not been answered. A departure is
// acknowledged once the control state records it, so that it outlives this process and all replicas.
// After acknowledgeTimeout the backend is told that the departure is not recorded. Only the agent's
// actor may call the methods. (DESIGN 9.1)
type pendingDepartures []pendingDeparture

// pendingDeparture is a departure that has not been answered.
type pendingDeparture struct {
	instance string
	deadline time.Time
	answer   func(recorded bool)
}

// add delays the answer to a departure until it is recorded.
func (p *pendingDepartures) add(instance string, now time.Time, answer func(recorded bool)) {
	*p = append(*p, pendingDeparture{instance: instance, deadline: now.Add(acknowledgeTimeout), answer: answer})
}

// release acknowledges the departures that are recorded.
func (p *pendingDepartures) release(recorded func(instance string) bool) {
	*p = slices.DeleteFunc(*p, func(departure pendingDeparture) bool {
		if !recorded(departure.instance) {
			return false
		}
		departure.answer(true)
		return true
	})
}

// expire answers the departures that have been pending for acknowledgeTimeout.
func (p *pendingDepartures) expire(now time.Time) {
	*p = slices.DeleteFunc(*p, func(departure pendingDeparture) bool {
		if now.Before(departure.deadline) {
			return false
		}
		departure.answer(false)
		return true
	})
}
