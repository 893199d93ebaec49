package endpoints

import (
	"sync/atomic"
	"time"
)

// LeaseDuration is how long a sidecar may admit without knowing that no newer word
// of the operator is held back from it.
const LeaseDuration = 4 * time.Second // (ours)

// Lease is a sidecar's right to admit to its backends. (DESIGN 7.2)
type Lease struct{ asOf atomic.Pointer[time.Time] }

// Renew takes that no newer word had been acknowledged as of a moment.
func (l *Lease) Renew(asOf time.Time) {
	if old := l.asOf.Load(); old == nil || asOf.After(*old) {
		l.asOf.Store(&asOf)
	}
}

// Age is how old the claim is.
func (l *Lease) Age(now time.Time) time.Duration {
	asOf := l.asOf.Load()
	if asOf == nil {
		return time.Hour
	}
	return now.Sub(*asOf)
}
