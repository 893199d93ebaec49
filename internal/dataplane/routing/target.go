package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// nextTarget returns the target of the next attempt. If late answers are accepted, a request that
// was rejected queueAfterRejections times, or by all backends, may be sent again to backends that
// rejected it, and be queued there beyond its latency target.
func (d *Decision) nextTarget(t *Table, v *membership.View, past history, now time.Time) (target membership.Target, queuePastTarget, ok bool) {
	queuePastTarget = d.Conditions.AcceptLate && past.rejected >= queueAfterRejections
	if queuePastTarget {
		d.nonExcluding = len(d.attempts)
	}
	target, ok = d.chooseTarget(t, v, now)
	if ok || !d.Conditions.AcceptLate || past.rejected == 0 {
		return target, queuePastTarget, ok
	}
	d.nonExcluding = len(d.attempts)
	target, ok = d.chooseTarget(t, v, now)
	return target, true, ok
}

// chooseTarget chooses between backends of the local zone and of other zones. It returns an ejected
// backend only if there is no other.
func (d *Decision) chooseTarget(t *Table, v *membership.View, now time.Time) (membership.Target, bool) {
	var local, remote, ejected []membership.Target
	for _, target := range v.Service(d.Route.Service) {
		switch {
		case target.Draining || t.ZoneDrained(target.Zone) || d.excluded(target):
		case target.Load.Ejected():
			ejected = append(ejected, target)
		case target.Zone == d.Zone:
			local = append(local, target)
		default:
			remote = append(remote, target)
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

// pickOfTwo draws two random targets and returns the better one.
func (d *Decision) pickOfTwo(targets []membership.Target, now time.Time) (membership.Target, bool) {
	if len(targets) == 0 {
		return membership.Target{}, false
	}
	i := d.Rand.IntN(len(targets))
	a := targets[i]
	if len(targets) == 1 {
		return a, true
	}
	b := targets[(i+1+d.Rand.IntN(len(targets)-1))%len(targets)]
	if utilization(b) < utilization(a) {
		a, b = b, a
	}
	return d.Conditions.prefer(a, b, now), true
}

// utilization returns the open requests of a backend as a fraction of its usable capacity. Waiting
// requests count as open, so the fraction may exceed 1.
func utilization(t membership.Target) float64 {
	return float64(t.Load.EstimateOpen()) / max(1, float64(t.Capacity)*t.CapacityShare)
}

// excluded reports whether an attempt has already been sent to this incarnation of a target. The
// first d.nonExcluding attempts do not exclude a target that rejected them.
func (d *Decision) excluded(t membership.Target) bool {
	for i, result := range d.attempts {
		if i < d.nonExcluding && !result.ReachedBackend && result.Outcome == NotRun {
			continue
		}
		if result.Target.Node == t.Node && result.Target.Instance == t.Instance && result.Target.Incarnation == t.Incarnation {
			return true
		}
	}
	return false
}
