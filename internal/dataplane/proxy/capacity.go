package proxy

import (
	"time"

	"curlewwalk/internal/dataplane/endpoints"
)

// maxConnections returns the maximum number of concurrent connections to a backend. It is the
// backend's capacity, or the service's MaxConnections if that is set and lower.
func (in *Inbound) maxConnections(e endpoints.Endpoint) int {
	if service, _ := in.Table().Service(e.Service); service.MaxConnections > 0 {
		return min(service.MaxConnections, e.Capacity)
	}
	return e.Capacity
}

// warmupRate returns the rate, in requests per second, that a backend can take now. ok is false if
// the backend is not warming up, or if its service has no warm-up rate.
func (in *Inbound) warmupRate(e endpoints.Endpoint, at time.Time) (rate float64, ok bool) {
	rate = in.Table().WarmupRate(e.Service)
	return rate, rate > 0 && e.WarmingUp(at)
}

// ConcurrencyLimit returns how many requests a backend may run concurrently at the given time. It
// is at most the backend's maximum number of connections. While the backend is warming up, it is at
// most the number of requests that the warm-up rate allows in a second, but at least 1.
func (in *Inbound) ConcurrencyLimit(e endpoints.Endpoint, at time.Time) int64 {
	table := in.Table()
	uptime := at.Sub(in.started)
	halved := uptime < in.HalfCapacityTime && table.EarlierRequestsMayRun(uptime)
	limit := min(e.ConcurrencyLimit(table.ZoneShare(e.Zone, at), halved, at), int64(in.maxConnections(e)))
	if rate, ok := in.warmupRate(e, at); ok {
		limit = max(1, min(limit, int64(rate)))
	}
	return limit
}
