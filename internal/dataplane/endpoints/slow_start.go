package endpoints

import (
	"slices"
	"time"
)

const (
	// limiterWindow is the time over which a rate per second is held to. It is a little
	// longer than a second, since requests may arrive closer together than they were
	// admitted.
	limiterWindow = 1020 * time.Millisecond // (ours)
	// minRate is the lowest rate that is distinguished from none, in requests a second.
	minRate = 1e-3
)

// SlowStartLimiter bounds the rate at which a backend that is warming up gets requests: no
// more than the rate in any second. The first second after the sidecar's start counts as
// used up, since an earlier incarnation may have admitted as many just before. It is not
// safe for concurrent use, and takes the time from its caller: a monotonic clock of any
// origin. (DESIGN 15.5)
type SlowStartLimiter struct {
	// admitted are the times of the requests within the window, the oldest first.
	admitted []time.Duration
}

// Allow admits a request at a rate, in requests a second, or returns when to retry. uptime
// is how long the sidecar has been running.
func (l *SlowStartLimiter) Allow(rate float64, now, uptime time.Duration) (ok bool, retryAfter time.Duration) {
	burst, window := int(rate), limiterWindow
	if burst < 1 {
		// Below one a second, one in a longer window.
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
