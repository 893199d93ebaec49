package fleet

import (
	"time"

	"curlewwalk/tests/fakes"
)

// Size is what a fleet is made of.
type Size struct {
	Name     string
	Cores    int
	Machines int
	Zones    []string
	// Backends lists services; backend i stands on machine i and is of service
	// Backends[i].
	Backends []string
	Capacity int
	Rate     float64
	Plans    []fakes.Plan
	// Slow is by how much the backends of a zone are slower than planned.
	Slow map[string]float64
}

var four = []string{"north", "east", "south", "west"}

// Repeat lists services in turn until there are n.
func Repeat(n int, services ...string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = services[i%len(services)]
	}
	return out
}

// Deployment is the size of a deployment by its name.
func Deployment(name string) Size {
	if name == "heating" {
		return Heating()
	}
	return Association()
}

// Association is the window and door association.
func Association() Size {
	return Size{
		Name: "association", Cores: 3, Machines: 13, Zones: four, Backends: Repeat(13, "orders", "stock", "surveys"), Capacity: 9, Rate: 210,
		Plans: []fakes.Plan{
			{Name: "order-place", Method: "POST", Prefix: "/orders/", Service: "orders", Aim: 200 * time.Millisecond, Deadline: 2 * time.Second, Rank: 1, Share: 0.4, Work: 30 * time.Millisecond, Calls: []string{"stock-take"}, Body: 800},
			{Name: "order-read", Method: "GET", Prefix: "/orders/", Service: "orders", Repeatable: true, Aim: 100 * time.Millisecond, Deadline: time.Second, Rank: 2, Share: 0.3, Work: 10 * time.Millisecond, Calls: []string{"stock-read"}},
			{Name: "survey-upload", Method: "POST", Prefix: "/surveys/", Service: "surveys", Aim: 500 * time.Millisecond, Deadline: 4 * time.Second, Rank: 3, Share: 0.3, Work: 60 * time.Millisecond, Body: 60000},
			{Name: "stock-take", Method: "POST", Prefix: "/stock/", Service: "stock", Aim: 100 * time.Millisecond, Deadline: time.Second, Rank: 1, Work: 15 * time.Millisecond, Body: 100},
			{Name: "stock-read", Method: "GET", Prefix: "/stock/", Service: "stock", Repeatable: true, Aim: 50 * time.Millisecond, Deadline: time.Second, Rank: 2, Work: 5 * time.Millisecond},
		},
	}
}

// Heating is the heating firm.
func Heating() Size {
	return Size{
		Name: "heating", Cores: 5, Machines: 12, Zones: four, Backends: Repeat(12, "setpoints", "meters", "firmware"), Capacity: 9, Rate: 140,
		Plans: []fakes.Plan{
			{Name: "setpoint-change", Method: "PUT", Prefix: "/setpoints/", Service: "setpoints", Aim: 200 * time.Millisecond, Deadline: 2 * time.Second, Rank: 1, Share: 0.5, Work: 30 * time.Millisecond, Calls: []string{"meter-read"}, Body: 200},
			{Name: "meter-read", Method: "GET", Prefix: "/meters/", Service: "meters", Repeatable: true, Aim: 100 * time.Millisecond, Deadline: time.Second, Rank: 2, Share: 0.3, Work: 10 * time.Millisecond},
			{Name: "firmware-push", Method: "POST", Prefix: "/firmware/", Service: "firmware", Aim: time.Second, Deadline: 5 * time.Second, Rank: 3, Share: 0.2, Work: 80 * time.Millisecond, Calls: []string{"meter-read"}, Body: 200000},
		},
	}
}
