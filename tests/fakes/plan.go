package fakes

import "time"

// RequestPlan describes one kind of request: its route, its latency contract, and the work that a
// backend does for it.
type RequestPlan struct {
	Name          string
	Method        string
	Prefix        string // path prefix of the route
	Service       string
	Idempotent    bool
	LatencyTarget time.Duration
	Deadline      time.Duration
	Priority      int // 1 is the highest
	// Share is the fraction of the clients' requests that are of this plan. Zero means that only
	// backends send it, as an inner call.
	Share float64
	// Work is the mean work time on a backend. Each run takes from half to one and a half of it.
	Work time.Duration
	// Calls lists the names of the plans of the inner calls that each run makes.
	Calls []string
	// BodySize is the size of the request body in bytes.
	BodySize int
}

// pickPlan returns the plan that a point in [0, 1) selects on the cumulative shares of the plans.
// Plans with a zero share are never selected.
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
