package endpoints

import (
	"sync/atomic"
	"time"
)

// ClaimFor is how long a sidecar may admit without knowing that no newer word
// of the operator is held back from it.
const ClaimFor = 4 * time.Second // (ours)

// Claim is a sidecar's right to admit to its backends. (DESIGN 7.2)
type Claim struct{ asOf atomic.Pointer[time.Time] }

// Renew takes that no newer word had been acknowledged as of a moment.
func (c *Claim) Renew(asOf time.Time) {
	if old := c.asOf.Load(); old == nil || asOf.After(*old) {
		c.asOf.Store(&asOf)
	}
}

// Age is how old the claim is.
func (c *Claim) Age(now time.Time) time.Duration {
	asOf := c.asOf.Load()
	if asOf == nil {
		return time.Hour
	}
	return now.Sub(*asOf)
}
