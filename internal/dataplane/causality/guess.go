package causality

import "time"

// guess is a call that was tied by inference: its candidates, and the share of
// likelihood that each has. Later events move the shares.
type guess struct {
	at    time.Time
	of    []*Open
	share []float64
}

// settle makes a guess's shares sum to 1.
func (g *guess) settle() {
	sum := 0.0
	for _, s := range g.share {
		sum += s
	}
	for i := range g.share {
		if sum > 0 {
			g.share[i] /= sum
		} else {
			g.share[i] = 1 / float64(len(g.share))
		}
	}
}

// over tells whether none of the candidates is open any more.
func (g *guess) over() bool {
	for _, o := range g.of {
		if !o.ended {
			return false
		}
	}
	return true
}
