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

// ConcurrencyLimit returns how many requests a backend may run concurrently at the given time. It
// is at most the backend's maximum number of connections. While the backend is, or may be, warming up, it is at
// most the number of requests that the warm-up rate allows in a second, but at least 1.
func (in *Inbound) ConcurrencyLimit(e endpoints.Endpoint, at time.Time) int64 {
	table := in.Table()
	uptime := at.Sub(in.started)
	halved := uptime < in.HalfCapacityTime && table.EarlierRequestsMayRun(uptime)
	limit := min(e.ConcurrencyLimit(table.ZoneShare(e.Zone, at), halved, at), int64(in.maxConnections(e)))
	if rate, limited := e.WarmupLimit(table, at); limited {
		limit = max(1, min(limit, int64(rate)))
	}
	return limit
}
