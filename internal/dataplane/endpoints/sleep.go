package endpoints

import "time"

const (
	// gap is how long a control thread that ticks every Pulse may be still
	// before it counts as having slept.
	gap = 400 * time.Millisecond // (ours)
	// drowsy is how long after that what arrives may have piled up meanwhile.
	drowsy = 500 * time.Millisecond // (ours)
)

// Pulse is the rhythm in which a control thread proves that it is awake.
const Pulse = 100 * time.Millisecond // (ours)

// Sleep notices that the process was frozen. (DESIGN 9.5)
type Sleep struct{ seen, woken time.Time }

// Seen takes that the thread runs; it comes before anything else is done.
func (s *Sleep) Seen(now time.Time) {
	if !s.seen.IsZero() && now.Sub(s.seen) > gap {
		s.woken = now
	}
	s.seen = now
}

// Drowsy tells whether what arrives now may be old.
func (s *Sleep) Drowsy(now time.Time) bool { return now.Sub(s.woken) < drowsy }
