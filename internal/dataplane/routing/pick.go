package routing

import "curlewwalk/internal/config"

// Pick chooses the service of a way for one request: by weight, where the way is
// split. draw tells a number from 0 to below n. (DESIGN 4.1)
func Pick(w config.Route, draw func(n int) int) string {
	if len(w.Split) == 0 {
		return w.Service
	}
	sum := 0
	for _, p := range w.Split {
		sum += p.Weight
	}
	at := draw(sum)
	for _, p := range w.Split {
		if at -= p.Weight; at < 0 {
			return p.Service
		}
	}
	return w.Split[0].Service
}
