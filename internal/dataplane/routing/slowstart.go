package routing

import "time"

// SlowStart describes how the usable capacity of the backends of a zone rises after an evacuation:
// linearly from an initial share to the full capacity. It is independent of the warm-up of a single
// backend, which package endpoints handles.
type SlowStart struct {
	// Duration is the time until the full capacity is reached.
	Duration time.Duration
	// InitialShare is the initial share of the capacity, from 0 to 1.
	InitialShare float64
}

// DefaultSlowStart is the slow start if the settings define none.
var DefaultSlowStart = SlowStart{Duration: 10 * time.Second, InitialShare: 0.2}

// ShareAfter returns the share of the capacity when the given time of the slow start has elapsed.
func (s SlowStart) ShareAfter(elapsed time.Duration) float64 {
	if elapsed >= s.Duration {
		return 1
	}
	return s.InitialShare + (1-s.InitialShare)*float64(elapsed)/float64(s.Duration)
}
