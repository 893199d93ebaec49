package routing

import "time"

// Climb is how a zone that was taken back is given what its backends bear: from a
// part of it, little by little, to all of it.
type Climb struct {
	For  time.Duration
	From float64
}

// UsualClimb is the climb if the settings say nothing else. (ours)
var UsualClimb = Climb{For: 10 * time.Second, From: 0.2}

// At is the share so long after it was taken back.
func (c Climb) At(since time.Duration) float64 {
	if since >= c.For {
		return 1
	}
	return c.From + (1-c.From)*float64(since)/float64(c.For)
}
