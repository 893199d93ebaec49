package routing

import "time"

// SlowStart is how a zone that was taken back is given what its backends bear: from a
// part of it, little by little, to all of it.
type SlowStart struct {
	Duration     time.Duration
	InitialShare float64
}

// DefaultSlowStart is the climb if the settings say nothing else. (ours)
var DefaultSlowStart = SlowStart{Duration: 10 * time.Second, InitialShare: 0.2}

// ShareAfter is the share so long after it was taken back.
func (c SlowStart) ShareAfter(since time.Duration) float64 {
	if since >= c.Duration {
		return 1
	}
	return c.InitialShare + (1-c.InitialShare)*float64(since)/float64(c.Duration)
}
