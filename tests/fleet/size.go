package fleet

import (
	"time"

	"curlewwalk/tests/fakes"
)

// Size describes the composition and load of a fleet.
type Size struct {
	Name     string
	Replicas int
	Machines int
	Zones    []string // machine i is in zone i modulo the number of zones
	// Backends lists the service of each backend. Backend i runs on machine i.
	Backends []string
	Capacity int     // of each backend, in concurrent requests
	Rate     float64 // of all clients together, in requests per second
	Plans    []fakes.RequestPlan
	// SlowFactor gives, by zone, the factor by which the backends work longer than planned. For a
	// zone without an entry the planned work time applies.
	SlowFactor map[string]float64
}

// fourZones lists the zones of both deployments.
var fourZones = []string{"north", "east", "south", "west"}

// RepeatServices returns a list of n services that repeats the given ones in order.
func RepeatServices(n int, services ...string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = services[i%len(services)]
	}
	return out
}

// Deployment returns the size of the named deployment: Heating for "heating", and Association for
// any other name.
func Deployment(name string) Size {
	if name == "heating" {
		return Heating()
	}
	return Association()
}

// Association returns the size of the deployment of the window and door association.
func Association() Size {
	return Size{
		Name: "association", Replicas: 3, Machines: 13, Zones: fourZones, Backends: RepeatServices(13, "orders", "stock", "surveys"), Capacity: 9, Rate: 210,
		Plans: []fakes.RequestPlan{
			{Name: "order-place", Method: "POST", Prefix: "/orders/", Service: "orders", LatencyTarget: 200 * time.Millisecond, Deadline: 2 * time.Second, Priority: 1, Share: 0.4, Work: 30 * time.Millisecond, Calls: []string{"stock-take"}, BodySize: 800},
			{Name: "order-read", Method: "GET", Prefix: "/orders/", Service: "orders", Idempotent: true, LatencyTarget: 100 * time.Millisecond, Deadline: time.Second, Priority: 2, Share: 0.3, Work: 10 * time.Millisecond, Calls: []string{"stock-read"}},
			{Name: "survey-upload", Method: "POST", Prefix: "/surveys/", Service: "surveys", LatencyTarget: 500 * time.Millisecond, Deadline: 4 * time.Second, Priority: 3, Share: 0.3, Work: 60 * time.Millisecond, BodySize: 60000},
			{Name: "stock-take", Method: "POST", Prefix: "/stock/", Service: "stock", LatencyTarget: 100 * time.Millisecond, Deadline: time.Second, Priority: 1, Work: 15 * time.Millisecond, BodySize: 100},
			{Name: "stock-read", Method: "GET", Prefix: "/stock/", Service: "stock", Idempotent: true, LatencyTarget: 50 * time.Millisecond, Deadline: time.Second, Priority: 2, Work: 5 * time.Millisecond},
		},
	}
}

// Heating returns the size of the deployment of the heating firm.
func Heating() Size {
	return Size{
		Name: "heating", Replicas: 5, Machines: 12, Zones: fourZones, Backends: RepeatServices(12, "setpoints", "meters", "firmware"), Capacity: 9, Rate: 140,
		Plans: []fakes.RequestPlan{
			{Name: "setpoint-change", Method: "PUT", Prefix: "/setpoints/", Service: "setpoints", LatencyTarget: 200 * time.Millisecond, Deadline: 2 * time.Second, Priority: 1, Share: 0.5, Work: 30 * time.Millisecond, Calls: []string{"meter-read"}, BodySize: 200},
			{Name: "meter-read", Method: "GET", Prefix: "/meters/", Service: "meters", Idempotent: true, LatencyTarget: 100 * time.Millisecond, Deadline: time.Second, Priority: 2, Share: 0.3, Work: 10 * time.Millisecond},
			{Name: "firmware-push", Method: "POST", Prefix: "/firmware/", Service: "firmware", LatencyTarget: time.Second, Deadline: 5 * time.Second, Priority: 3, Share: 0.2, Work: 80 * time.Millisecond, Calls: []string{"meter-read"}, BodySize: 200000},
		},
	}
}
