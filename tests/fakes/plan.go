package fakes

import "time"

// RequestPlan is how one kind of request behaves in a fleet.
type RequestPlan struct {
	Name          string
	Method        string
	Prefix        string // of the path, by which it is routed
	Service       string
	Idempotent    bool
	LatencyTarget time.Duration
	Deadline      time.Duration
	Priority      int // 1 is the highest
	// Share is its part of what clients send; zero for inner calls only.
	Share float64
	// Work is about how long a backend works on it.
	Work time.Duration
	// Calls names the plans of the inner calls that each run makes.
	Calls []string
	// BodySize is about how many bytes the request's body has.
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
