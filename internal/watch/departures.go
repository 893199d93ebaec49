package watch

import (
	"time"

	"curlewwalk/internal/membership"
)

// maxDepartures is the maximum number of departed instances that a replica remembers for all nodes
// together. The departures of the node with the oldest report are dropped first.
const maxDepartures = 65536

// departureLog stores the departures that sidecars reported, also after the sidecars' processes
// have ended. A sidecar that restarts receives the departures that earlier processes at its address
// had reported. For a limited time, sidecars delay the acknowledgment of a departure until a replica
// has stored it, so that the departure survives the process. Only the newest
// membership.MaxReportedDepartures of each address are stored. (DESIGN 9.1)
type departureLog struct {
	byNode map[string]nodeDepartures
	// count is the number of departures of all nodes.
	count int
}

// nodeDepartures holds the departures of one node and the time when it last reported a new one.
type nodeDepartures struct {
	departures membership.Departures
	reportedAt time.Duration
}

// observe records the departures that a node reports and returns the known departures of that node
// that the report lacks.
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

// evictOldest removes the departures of the node whose last report of a new departure is the
// oldest.
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
