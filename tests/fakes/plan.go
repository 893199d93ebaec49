package fakes

import "time"

// Plan is how one kind of request behaves in a fleet.
type Plan struct {
	Name       string
	Method     string
	Prefix     string
	Service    string
	Repeatable bool
	Aim        time.Duration
	Deadline   time.Duration
	Rank       int
	// Share is its part of what clients send; zero is for inner calls only.
	Share float64
	// Work is how long a backend works on it, about.
	Work time.Duration
	// Calls names the plans of the inner calls that a run makes.
	Calls []string
	// Body is how large the request's body is, about.
	Body int
}

// pick is the plan at a point from 0 to 1 of the plans' shares laid end to end.
func pick(plans []Plan, point float64) (last Plan) {
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
