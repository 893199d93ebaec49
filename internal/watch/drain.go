package watch

import (
	"slices"
	"time"
)

// DrainStatus says how far the evacuation of a zone has come.
type DrainStatus struct {
	Zone string `json:"locality"`
	// Evacuated says whether the control state has the zone evacuated, and Revision is that
	// control state's.
	Evacuated bool   `json:"emptied"`
	Revision  uint64 `json:"stamp"`
	// OpenRequests is how many requests still run or wait in the zone.
	OpenRequests int64 `json:"open"`
	// LaggingNodes lists the addresses of the nodes that have not applied Revision yet.
	LaggingNodes []string `json:"behind"`
	// Done is set once no request is open and no node lags; DoneFor is for how long, as
	// time.Duration prints it.
	Done    bool   `json:"done"`
	DoneFor string `json:"done_for,omitempty"`
}

// DrainStatus returns the status of a zone.
func (l *EventLog) DrainStatus(zone string, now time.Duration) DrainStatus {
	d := DrainStatus{Zone: zone}
	if l.state != nil {
		d.Revision, d.Evacuated = l.state.Revision, slices.Contains(l.state.EvacuatedZones(), zone)
	}
	for _, n := range l.nodes {
		d.OpenRequests += n.OpenRequests[zone]
	}
	d.LaggingNodes = l.LaggingNodes(d.Revision)
	d.Done = d.Evacuated && d.OpenRequests == 0 && len(d.LaggingNodes) == 0
	if d.Done {
		since, ok := l.drainedSince[zone]
		if !ok {
			since = now // since after the last tick
		}
		d.DoneFor = (now - since).String()
	}
	return d
}

// updateDrainedZones records since when each evacuated zone is drained.
func (l *EventLog) updateDrainedZones(now time.Duration) {
	if l.state == nil {
		return
	}
	drainedSince := map[string]time.Duration{}
	for _, zone := range l.state.EvacuatedZones() {
		if !l.DrainStatus(zone, now).Done {
			continue
		}
		drainedSince[zone] = now
		if since, ok := l.drainedSince[zone]; ok {
			drainedSince[zone] = since
		}
	}
	l.drainedSince = drainedSince
}
