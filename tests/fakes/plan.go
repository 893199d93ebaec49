package fakes

import "time"

// RequestPlan is how one kind of request behaves in a fleet.
type RequestPlan struct {
	Name          string
	Method        string
	Prefix        string
	Service       string
	Idempotent    bool
	LatencyTarget time.Duration
	Deadline      time.Duration
	Priority      int
	// Share is its part of what clients send; zero is for inner calls only.
	Share float64
	// Work is how long a backend works on it, about.
	Work time.Duration
	// Calls names the plans of the inner calls that a run makes.
	Calls []string
	// BodySize is how large the request's body is, about.
	BodySize int
}

// pickPlan is the plan at a point from 0 to 1 of the plans' shares laid end to end.
func pickPlan(plans []RequestPlan, point float64) (last RequestPlan) {
	for _, p := range plans {
		if p.Share == 0 {
			continue
		}
		last = p
		if point -= p.Share; point < 0 {
			break
		}
	}
	return last
}
