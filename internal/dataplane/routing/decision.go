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
	// mostAttempts is how many attempts a request has whose way does not say.
	mostAttempts = 3 // (ours)
	// mostAsked is how many it has, those that came to no backend counted in.
	mostAsked = 8 // (ours)
	// turnedAway is after how many refusals a request rather stands in line to be
	// late.
	turnedAway = 2 // (ours)
	// mostLapsed is after how many sidecars that are not sure of the newest word an
	// request ends whose own sidecar isn't either: the others would refuse it too, and
	// asking them is a load that keeps them from becoming sure.
	mostLapsed = 2 // (ours)
	// askAgain is how long one that is held waits before it is asked about again.
	askAgain = 25 * time.Millisecond // (ours)
	// spillAt is how busy the own zone must be before others are used.
	spillAt = 0.8 // (ours)
)

// Decision is the object that is asked about one request. The executor obeys
// it and tells it what came of each attempt. (DESIGN 4.2)
type Decision struct {
	// Way has as its Service the one that was picked for the request.
	Route    config.Route
	Deadline time.Time
	Zone     string
	Rand     *rand.Rand
	Means    Means
	attempts []Attempt
	// again is how many of the attempts no longer tell against their targets.
	again int
}

// Tell takes the fate of an attempt.
func (d *Decision) Tell(l Attempt) { d.attempts = append(d.attempts, l) }

// Service is the one service that all attempts go to.
func (d *Decision) Service() string { return d.Route.Service }

// Attempts lists the attempts so far.
func (d *Decision) Attempts() []Attempt { return d.attempts }

// history is what is known from the attempts so far.
type history struct {
	// fate is NotRun only if every attempt is proven not to have run.
	fate   Fate
	reason string
	// back is when the client may try again at the soonest.
	back time.Duration
	// expired tells that the deadline has passed here or at an attempt's backend.
	expired bool
	// reached counts the attempts that came to a backend or may have; turned counts
	// those that were refused before.
	reached, turned int
}

// end ends the request with what is known.
func (h history) end(status int, reason string) Order {
	return end(status, h.fate, reason, h.back)
}

// history sums up the attempts so far.
func (d *Decision) history(now time.Time) history {
	past := history{
		fate:    NotRun,
		reason:  "no backend of " + d.Route.Service,
		back:    cmp.Or(d.Means.Back, time.Second),
		expired: !now.Before(d.Deadline),
	}
	for _, attempt := range d.attempts {
		past.reason = attempt.Reason
		past.back = max(past.back, attempt.Back)
		if attempt.Fate == Unknown {
			past.fate = Unknown
		}
		if attempt.Reached || attempt.Fate == Unknown {
			past.reached++
		} else {
			past.turned++
		}
	}
	if n := len(d.attempts); n > 0 && d.attempts[n-1].Expired {
		past.expired = true
	}
	return past
}

// Ask decides what comes next, on the snapshots as they are now.
func (d *Decision) Ask(t *Table, v *membership.View, now time.Time) Order {
	if n := len(d.attempts); n > 0 && d.attempts[n-1].Fate == Answered {
		return Order{}
	}
	past := d.history(now)
	if past.expired {
		return past.end(http.StatusGatewayTimeout, past.reason)
	}
	if why := d.Means.unwanted(); why != "" {
		return past.end(status(past.fate), why)
	}
	if d.exhausted(past) || d.lapsed() {
		return past.end(status(past.fate), past.reason)
	}
	target, patient, ok := d.target(t, v, past, now)
	if !ok && now.Add(askAgain).Before(d.Means.Hold) {
		// Those that refused it without a backend's having seen it may be asked again.
		d.again = len(d.attempts)
		return Order{Wait: askAgain}
	}
	if !ok {
		return past.end(status(past.fate), past.reason)
	}
	if !d.Means.Late && d.Means.vain(target, d.Deadline.Sub(now)) && d.Rand.IntN(trickle) > 0 {
		return past.end(status(past.fate), "the time left does not cover what it takes")
	}
	if past.reached > 0 && !d.Means.Spend() {
		return past.end(status(past.fate), "no means for another leg after: "+past.reason)
	}
	return Order{Send: true, Target: target, Patient: patient}
}

// exhausted tells whether no further attempt may be made: one may have run that
// must not run twice, or there were as many as the route allows.
func (d *Decision) exhausted(past history) bool {
	if past.fate == Unknown && !d.Route.Idempotent {
		return true
	}
	return past.reached >= cmp.Or(d.Route.MaxAttempts, mostAttempts) || len(d.attempts) >= mostAsked
}

// target chooses where the next attempt goes. A patient one was refused before and
// rather waits in line to be late: it may go to those that refused it, too.
func (d *Decision) target(t *Table, v *membership.View, past history, now time.Time) (target membership.Target, patient, ok bool) {
	patient = d.Means.Late && past.turned >= turnedAway
	if patient {
		d.again = len(d.attempts)
	}
	target, ok = d.choose(t, v, now)
	if ok || !d.Means.Late || past.turned == 0 {
		return target, patient, ok
	}
	d.again = len(d.attempts)
	target, ok = d.choose(t, v, now)
	return target, true, ok
}

// lapsed tells whether nobody may be expected to admit the request now.
func (d *Decision) lapsed() bool {
	n := 0
	for _, l := range d.attempts {
		if l.Lapsed {
			n++
		}
	}
	return n >= mostLapsed && d.Means.Unsure != nil && d.Means.Unsure()
}

func status(f Fate) int {
	if f == NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func end(status int, f Fate, reason string, back time.Duration) Order {
	return Order{End: End{Status: status, Fate: f, Reason: reason, RetryAfter: back}}
}

// choose takes one of two random backends, of the own zone first.
func (d *Decision) choose(t *Table, v *membership.View, now time.Time) (membership.Target, bool) {
	var near, far, shunned []membership.Target
	for _, c := range v.Service(d.Route.Service) {
		switch {
		case c.Draining || t.Emptied(c.Zone) || d.tried(c):
		case c.Load.Ejected():
			shunned = append(shunned, c)
		case c.Zone == d.Zone:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	best, ok := d.two(near, now)
	if other, okFar := d.two(far, now); okFar && (!ok || d.Means.crosses(best, other, now)) {
		best, ok = other, true
	}
	if !ok {
		best, ok = d.two(shunned, now)
	}
	return best, ok
}

// two takes the better of two random places.
func (d *Decision) two(from []membership.Target, now time.Time) (membership.Target, bool) {
	if len(from) == 0 {
		return membership.Target{}, false
	}
	i := d.Rand.IntN(len(from))
	a := from[i]
	if len(from) == 1 {
		return a, true
	}
	b := from[(i+1+d.Rand.IntN(len(from)-1))%len(from)]
	if fill(b) < fill(a) {
		a, b = b, a
	}
	return d.Means.prefer(a, b, now), true
}

// fill is the share of what a backend can bear that is taken.
func fill(t membership.Target) float64 {
	return float64(t.Load.EstimateOpen()) / max(1, float64(t.Capacity)*t.CapacityShare)
}

func (d *Decision) tried(t membership.Target) bool {
	for i, l := range d.attempts {
		if i < d.again && !l.Reached && l.Fate == NotRun {
			continue
		}
		if l.Target.Node == t.Node && l.Target.Instance == t.Instance && l.Target.Incarnation == t.Incarnation {
			return true
		}
	}
	return false
}
