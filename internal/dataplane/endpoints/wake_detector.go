package endpoints

import "time"

const (
	// WakeCheckInterval is the interval at which WakeDetector.Check must be called.
	WakeCheckInterval = 100 * time.Millisecond
	// sleepThreshold is the time between two checks above which the process counts as having been
	// suspended.
	sleepThreshold = 400 * time.Millisecond
	// catchUpPeriod is the time after a suspension during which arriving messages may have been
	// sent before the process resumed.
	catchUpPeriod = 500 * time.Millisecond
)

// WakeDetector detects that the process was suspended and has resumed. Messages that arrive after
// that may have been queued for a long time. It is not safe for concurrent use. (DESIGN 9.5)
type WakeDetector struct{ lastCheck, wokeAt time.Time }

// Check records that the process is running. It must be called before any message that may have
// been queued is processed.
func (d *WakeDetector) Check(now time.Time) {
	if !d.lastCheck.IsZero() && now.Sub(d.lastCheck) > sleepThreshold {
		d.wokeAt = now
	}
	d.lastCheck = now
}

// CatchingUp reports whether messages that arrive now may have been queued while the process was
// suspended.
func (d *WakeDetector) CatchingUp(now time.Time) bool { return now.Sub(d.wokeAt) < catchUpPeriod }
