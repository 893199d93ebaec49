package retrybudget

import "time"

// Counts counts a contract's requests over the window, and their lateness.
type Counts struct {
	Requests int64         `msgpack:"n" json:"inquiries"`
	Lateness time.Duration `msgpack:"l" json:"lateness"`
}

// Add adds two tallies.
func (t Counts) Add(o Counts) Counts {
	return Counts{Requests: t.Requests + o.Requests, Lateness: t.Lateness + o.Lateness}
}

// LatenessObjective is the share of its room, deadline less aim, by which a request may
// be late on average. (ours)
const LatenessObjective = 0.05

// Remaining is the lateness still allowed before the promise breaks; below zero it
// is broken. room is deadline less aim. (DESIGN 15.3)
func (t Counts) Remaining(room time.Duration) time.Duration {
	return time.Duration(LatenessObjective*float64(t.Requests)*float64(room)) - t.Lateness
}
