package routing

import "curlewwalk/internal/config"

// PickService chooses the service of a way for one request: by weight, where the way is
// split. draw tells a number from 0 to below n. (DESIGN 4.1)
func PickService(route config.Route, draw func(n int) int) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	sum := 0
	for _, weighted := range route.Split {
		sum += weighted.Weight
	}
	at := draw(sum)
	for _, weighted := range route.Split {
		if at -= weighted.Weight; at < 0 {
			return weighted.Service
		}
	}
	return route.Split[0].Service
}
