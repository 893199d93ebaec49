package watch

import (
	"time"

	"curlewwalk/internal/membership"
)

// maxDepartures bounds how many departed instances a replica remembers in all. Those of the
// sidecars that reported theirs longest ago are dropped first.
const maxDepartures = 65536 // (ours)

// departureLog remembers the departures that sidecars reported, beyond the end of their processes:
// a sidecar that restarts gets back what an earlier process at its address had acknowledged.
// (DESIGN 9.1)
type departureLog struct {
	byNode map[string]nodeDepartures
	// count is the number of departures of all nodes.
	count int
}

// nodeDepartures are the departures of one node and when it last reported any.
type nodeDepartures struct {
	departures membership.Departures
	reportedAt time.Duration
}

// observe takes the departures that a node reports and returns the other ones known of it.
func (d *departureLog) observe(n membership.Node, now time.Duration) (missing []string) {
	old := d.byNode[n.Addr]
	next, changed := old.departures.Add(n.Departed...)
	if !changed {
		return old.departures.Without(n.Departed)
	}
	if d.byNode == nil {
		d.byNode = map[string]nodeDepartures{}
	}
	next = next.Newest(membership.MaxReportedDepartures)
	d.byNode[n.Addr] = nodeDepartures{departures: next, reportedAt: now}
	d.count += next.Len() - old.departures.Len()
	for d.count > maxDepartures {
		d.evictOldest()
	}
	return next.Without(n.Departed)
}

// evictOldest drops the departures of the node that reported any longest ago.
func (d *departureLog) evictOldest() {
	oldest := ""
	for addr, n := range d.byNode {
		if oldest == "" || n.reportedAt < d.byNode[oldest].reportedAt {
			oldest = addr
		}
	}
	d.count -= d.byNode[oldest].departures.Len()
	delete(d.byNode, oldest)
}
