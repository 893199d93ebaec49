package watch

import (
	"time"

	"curlewwalk/internal/membership"
)

// maxDepartures bounds how many departed instances a core remembers in all: those of the
// sidecars that told of theirs longest ago are forgotten first. (ours)
const maxDepartures = 65536

// departureLog is what sidecars told of departures, beyond the life of their processes: one that
// is started anew is told again what it had acknowledged. (DESIGN 9.1)
type departureLog struct {
	byNode map[string]nodeDepartures
	count  int
}

type nodeDepartures struct {
	departures membership.Departures
	reportedAt time.Duration
}

// observe takes what a sidecar tells, and returns what else is known of its departures.
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

// evictOldest forgets the sidecar that told of its departures longest ago.
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
