package watch

import (
	"time"

	"curlewwalk/internal/membership"
)

// mostDeparted bounds how many departed instances a core remembers in all: those of the
// sidecars that told of theirs longest ago are forgotten first. (ours)
const mostDeparted = 65536

// departed is what sidecars told of departures, beyond the life of their processes: one that
// is started anew is told again what it had acknowledged. (DESIGN 9.1)
type departed struct {
	byNode map[string]departedNode
	count  int
}

type departedNode struct {
	departures membership.Departures
	told       time.Duration
}

// hear takes what a sidecar tells, and returns what else is known of its departures.
func (d *departed) hear(n membership.Node, now time.Duration) (beyond []string) {
	old := d.byNode[n.Addr]
	next, changed := old.departures.With(n.Departed...)
	if !changed {
		return old.departures.Beyond(n.Departed)
	}
	if d.byNode == nil {
		d.byNode = map[string]departedNode{}
	}
	next = next.Newest(membership.DeparturesTold)
	d.byNode[n.Addr] = departedNode{departures: next, told: now}
	d.count += next.Count() - old.departures.Count()
	for d.count > mostDeparted {
		d.forgetOldest()
	}
	return next.Beyond(n.Departed)
}

// forgetOldest forgets the sidecar that told of its departures longest ago.
func (d *departed) forgetOldest() {
	oldest := ""
	for addr, n := range d.byNode {
		if oldest == "" || n.told < d.byNode[oldest].told {
			oldest = addr
		}
	}
	d.count -= d.byNode[oldest].departures.Count()
	delete(d.byNode, oldest)
}
