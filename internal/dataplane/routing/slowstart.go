package routing

import "time"

// SlowStart is how the backends of a zone that takes traffic again after an evacuation come
// back to their capacity: from a share of it, linearly, to all of it.
type SlowStart struct {
	// Duration is how long it takes until they have all of their capacity.
	Duration time.Duration
	// InitialShare is the share of their capacity that they begin with, from 0 to 1.
	InitialShare float64
}

// DefaultSlowStart is used where the settings say nothing else. (ours)
var DefaultSlowStart = SlowStart{Duration: 10 * time.Second, InitialShare: 0.2}

// ShareAfter returns the share of capacity after some time of the slow start.
func (s SlowStart) ShareAfter(elapsed time.Duration) float64 {
	if elapsed >= s.Duration {
		return 1
	}
	return s.InitialShare + (1-s.InitialShare)*float64(elapsed)/float64(s.Duration)
}
