package retrybudget

import "time"

// Tally counts a contract's requests over the window, and their lateness.
type Tally struct {
	N    int64         `msgpack:"n" json:"inquiries"`
	Late time.Duration `msgpack:"l" json:"lateness"`
}

// Plus adds two tallies.
func (t Tally) Plus(o Tally) Tally { return Tally{N: t.N + o.N, Late: t.Late + o.Late} }

// Promise is the share of its room, deadline less aim, by which a request may
// be late on average. (ours)
const Promise = 0.05

// Left is the lateness still allowed before the promise breaks; below zero it
// is broken. room is deadline less aim. (DESIGN 15.3)
func (t Tally) Left(room time.Duration) time.Duration {
	return time.Duration(Promise*float64(t.N)*float64(room)) - t.Late
}
