package endpoints

import (
	"slices"
	"time"
)

const (
	// limiterWindow is the window within which a rate per second is enforced. It is 20 ms longer
	// than a second, since requests may arrive at the backend closer together than they were
	// admitted.
	limiterWindow = 1020 * time.Millisecond
	// minRate is the lowest effective rate in requests per second. Lower rates are raised to it.
	minRate = 1e-3
)

// SlowStartLimiter bounds the request rate of a backend that is warming up: in any second, no more
// requests than the rate are admitted. No requests are admitted in the first second after the start
// of the sidecar, since an earlier incarnation may have admitted the full rate just before. A
// SlowStartLimiter is not safe for concurrent use. The caller passes the time, from a monotonic
// clock of any origin. (DESIGN 15.5)
type SlowStartLimiter struct {
	// admitted holds the times of the requests within the window, oldest first.
	admitted []time.Duration
}

// Allow admits a request at a rate, in requests per second, or returns the time after which to
// retry. uptime is the time since the sidecar started.
func (l *SlowStartLimiter) Allow(rate float64, now, uptime time.Duration) (ok bool, retryAfter time.Duration) {
	burst, window := int(rate), limiterWindow
	if burst < 1 {
		// A rate below one per second admits one request in a longer window.
		burst, window = 1, time.Duration(float64(window)/max(rate, minRate))
	}
	if uptime < window {
		return false, window - uptime
	}
	l.admitted = slices.DeleteFunc(l.admitted, func(at time.Duration) bool { return now-at >= window })
	if len(l.admitted) >= burst {
		return false, l.admitted[len(l.admitted)-burst] + window - now
	}
	l.admitted = append(l.admitted, now)
	return true, 0
}
