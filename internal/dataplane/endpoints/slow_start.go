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
	// admitted holds the times of the newest requests, oldest first: at most as many as may be
	// admitted within the window.
	admitted []time.Duration
}

// Allow admits a request at a rate, in requests per second, or returns the time after which to
// retry. uptime is the time since the sidecar started.
func (l *SlowStartLimiter) Allow(rate float64, now, uptime time.Duration) (ok bool, retryAfter time.Duration) {
	burst, window := limits(rate)
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

// Count counts a request that is admitted while the rate does not apply. Later calls of Allow count
// it as admitted.
func (l *SlowStartLimiter) Count(rate float64, now time.Duration) {
	burst, _ := limits(rate)
	l.admitted = append(l.admitted, now)
	if excess := len(l.admitted) - burst; excess > 0 {
		l.admitted = slices.Delete(l.admitted, 0, excess)
	}
}

// limits returns the number of requests that a rate admits, and the window within which it admits
// them.
func limits(rate float64) (burst int, window time.Duration) {
	if burst = int(rate); burst >= 1 {
		return burst, limiterWindow
	}
	// A rate below one per second admits one request in a longer window.
	return 1, time.Duration(float64(limiterWindow) / max(rate, minRate))
}
