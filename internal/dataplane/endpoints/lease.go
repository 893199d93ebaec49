package endpoints

import (
	"sync/atomic"
	"time"
)

// LeaseDuration is the time for which a sidecar may admit requests after the last moment at which
// its configuration was known to be the newest acknowledged one.
const LeaseDuration = 4 * time.Second

// neverRenewed is the age reported for a lease that was never renewed. It exceeds every bound on
// the age.
const neverRenewed = time.Hour

// Lease is a sidecar's permission to admit requests to its backends. LeaseDuration after a
// configuration was acknowledged to an operator, no sidecar admits requests under an older
// configuration. A Lease is safe for concurrent use. (DESIGN 7.2)
type Lease struct{ asOf atomic.Pointer[time.Time] }

// Renew extends the lease. asOf is a moment at which no newer configuration had been acknowledged.
func (l *Lease) Renew(asOf time.Time) {
	if old := l.asOf.Load(); old == nil || asOf.After(*old) {
		l.asOf.Store(&asOf)
	}
}

// Age returns the time since the latest moment that was passed to Renew.
func (l *Lease) Age(now time.Time) time.Duration {
	asOf := l.asOf.Load()
	if asOf == nil {
		return neverRenewed
	}
	return now.Sub(*asOf)
}
