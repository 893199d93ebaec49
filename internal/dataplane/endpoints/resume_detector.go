package endpoints

import "time"

const (
	// ResumeCheckInterval is the interval at which ResumeDetector.Check must be called.
	ResumeCheckInterval = 100 * time.Millisecond
	// sleepThreshold is the time between two checks above which the process counts as having been
	// suspended.
	sleepThreshold = 400 * time.Millisecond
	// catchUpPeriod is the time after a suspension during which arriving messages may have been
	// sent before the process resumed.
	catchUpPeriod = 500 * time.Millisecond
)

// ResumeDetector detects that the process was suspended and has resumed. Messages that arrive
// after that may have been queued for a long time. It is not safe for concurrent use. (DESIGN 9.5)
type ResumeDetector struct{ lastCheck, resumedAt time.Time }

// Check records that the process is running. It must be called before any message that may have
// been queued is processed.
func (d *ResumeDetector) Check(now time.Time) {
	if !d.lastCheck.IsZero() && now.Sub(d.lastCheck) > sleepThreshold {
		d.resumedAt = now
	}
	d.lastCheck = now
}

// RecentlyResumed reports whether messages that arrive now may have been queued while the process
// was suspended.
func (d *ResumeDetector) RecentlyResumed(now time.Time) bool {
	return now.Sub(d.resumedAt) < catchUpPeriod
}
