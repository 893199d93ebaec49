package endpoints

import "time"

const (
	// sleepThreshold is how long a control thread that ticks every Pulse may be still
	// before it counts as having slept.
	sleepThreshold = 400 * time.Millisecond // (ours)
	// catchUpPeriod is how long after that what arrives may have piled up meanwhile.
	catchUpPeriod = 500 * time.Millisecond // (ours)
)

// WakeCheckInterval is the rhythm in which a control thread proves that it is awake.
const WakeCheckInterval = 100 * time.Millisecond // (ours)

// WakeDetector notices that the process was frozen. (DESIGN 9.5)
type WakeDetector struct{ lastCheck, wokeAt time.Time }

// Check takes that the thread runs; it comes before anything else is done.
func (s *WakeDetector) Check(now time.Time) {
	if !s.lastCheck.IsZero() && now.Sub(s.lastCheck) > sleepThreshold {
		s.wokeAt = now
	}
	s.lastCheck = now
}

// CatchingUp tells whether what arrives now may be old.
func (s *WakeDetector) CatchingUp(now time.Time) bool { return now.Sub(s.wokeAt) < catchUpPeriod }
