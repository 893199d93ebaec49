package proxy

import (
	"time"

	"curlewwalk/internal/dataplane/endpoints"
)

// maxConnections returns how many connections a backend may have at a time.
func (in *Inbound) maxConnections(e endpoints.Endpoint) int {
	if service, _ := in.Table().Service(e.Service); service.MaxConnections > 0 {
		return min(service.MaxConnections, e.Capacity)
	}
	return e.Capacity
}

// warmupRate returns how many requests a second a backend bears now; ok is false if it is not
// warming up, or its service has no such rate.
func (in *Inbound) warmupRate(e endpoints.Endpoint, at time.Time) (rate float64, ok bool) {
	rate = in.Table().WarmupRate(e.Service)
	return rate, rate > 0 && e.WarmingUp(at)
}

// ConcurrencyLimit returns how many requests a backend may run at a time now.
func (in *Inbound) ConcurrencyLimit(e endpoints.Endpoint, at time.Time) int64 {
	table := in.Table()
	uptime := at.Sub(in.started)
	halved := uptime < in.HalfCapacityTime && table.EarlierRunsPossible(uptime)
	limit := min(e.ConcurrencyLimit(table.ZoneShare(e.Zone, at), halved, at), int64(in.maxConnections(e)))
	if rate, ok := in.warmupRate(e, at); ok {
		limit = max(1, min(limit, int64(rate)))
	}
	return limit
}
