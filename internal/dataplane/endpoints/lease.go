package endpoints

import (
	"sync/atomic"
	"time"
)

// LeaseDuration is how long a sidecar may admit requests after the moment as of which its
// configuration was known to be the newest that was acknowledged.
const LeaseDuration = 4 * time.Second // (ours)

// neverRenewed is the age of a lease that was never renewed: beyond all bounds.
const neverRenewed = time.Hour

// Lease is a sidecar's right to admit requests to its backends. Whoever acknowledges a
// configuration to an operator can rely on it that LeaseDuration later no sidecar admits
// under an older one. It is safe for concurrent use. (DESIGN 7.2)
type Lease struct{ asOf atomic.Pointer[time.Time] }

// Renew extends the lease: as of a moment, no newer configuration had been acknowledged.
func (l *Lease) Renew(asOf time.Time) {
	if old := l.asOf.Load(); old == nil || asOf.After(*old) {
		l.asOf.Store(&asOf)
	}
}

// Age returns the time since the moment as of which the lease was renewed last.
func (l *Lease) Age(now time.Time) time.Duration {
	asOf := l.asOf.Load()
	if asOf == nil {
		return neverRenewed
	}
	return now.Sub(*asOf)
}
