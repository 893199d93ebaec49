package endpoints

import "time"

const (
	// WakeCheckInterval is how often WakeDetector.Check is to be called.
	WakeCheckInterval = 100 * time.Millisecond // (ours)
	// sleepThreshold is the time between two checks from which on the process counts as
	// having been frozen in between.
	sleepThreshold = 400 * time.Millisecond // (ours)
	// catchUpPeriod is how long after it what arrives may have been sent before.
	catchUpPeriod = 500 * time.Millisecond // (ours)
)

// WakeDetector notices that the process was frozen and runs again: what arrives then may
// have waited for long. It is not safe for concurrent use. (DESIGN 9.5)
type WakeDetector struct{ lastCheck, wokeAt time.Time }

// Check notes that the process is running. It must be called before anything is processed
// that may have waited.
func (d *WakeDetector) Check(now time.Time) {
	if !d.lastCheck.IsZero() && now.Sub(d.lastCheck) > sleepThreshold {
		d.wokeAt = now
	}
	d.lastCheck = now
}

// CatchingUp reports whether what arrives now may have waited while the process was frozen.
func (d *WakeDetector) CatchingUp(now time.Time) bool { return now.Sub(d.wokeAt) < catchUpPeriod }
