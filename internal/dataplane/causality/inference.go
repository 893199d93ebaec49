package causality

import "time"

// inference is a call that was tied by inference: its candidates, and the share of
// likelihood that each has. Later events move the shares.
type inference struct {
	at         time.Time
	candidates []*OpenRequest
	shares     []float64
}

// normalize makes a guess's shares sum to 1.
func (g *inference) normalize() {
	sum := 0.0
	for _, s := range g.shares {
		sum += s
	}
	for i := range g.shares {
		if sum > 0 {
			g.shares[i] /= sum
		} else {
			g.shares[i] = 1 / float64(len(g.shares))
		}
	}
}

// allEnded tells whether none of the candidates is open any more.
func (g *inference) allEnded() bool {
	for _, request := range g.candidates {
		if !request.ended {
			return false
		}
	}
	return true
}
