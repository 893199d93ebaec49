package routing

import "curlewwalk/internal/config"

// PickService returns the service of a route for one request. If the route is split between
// services, PickService chooses one at random by weight. A valid configuration has at least one
// weight above zero. draw returns a random number in [0, n). (DESIGN 4.1)
func PickService(route config.Route, draw func(n int) int) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0
	for _, weighted := range route.Split {
		total += weighted.Weight
	}
	remaining := draw(total)
	for _, weighted := range route.Split {
		if remaining -= weighted.Weight; remaining < 0 {
			return weighted.Service
		}
	}
	return route.Split[0].Service
}
