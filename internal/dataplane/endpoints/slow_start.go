package endpoints

import (
	"slices"
	"time"
)

// limiterWindow is the stretch over which a rate a second is held to: a bit more than a
// second, since what was let in evenly may arrive a bit closer. (ours)
const limiterWindow = 1020 * time.Millisecond

// SlowStartLimiter is a decision value: it lets in no more than a rate over any second. It counts
// the first second after the sidecar's own start as full, since a killed predecessor
// may have let in as many just before. (DESIGN 15.5)
type SlowStartLimiter struct{ admitted []time.Duration }

// Allow lets one in at a moment, or tells when there is room. up is how long the sidecar
// has been up.
func (l *SlowStartLimiter) Allow(rate float64, now, up time.Duration) (ok bool, retryAfter time.Duration) {
	burst, window := int(rate), limiterWindow
	if burst < 1 {
		// Less than one a second: one over as long as it takes.
		burst, window = 1, time.Duration(float64(window)/max(rate, 1e-3))
	}
	if up < window {
		return false, window - up
	}
	l.admitted = slices.DeleteFunc(l.admitted, func(at time.Duration) bool { return now-at >= window })
	if len(l.admitted) >= burst {
		return false, l.admitted[len(l.admitted)-burst] + window - now
	}
	l.admitted = append(l.admitted, now)
	return true, 0
}
