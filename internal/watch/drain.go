package watch

import (
	"slices"
	"time"
)

// DrainStatus is the progress of the evacuation of a zone.
type DrainStatus struct {
	Zone string `json:"locality"`
	// Evacuated reports whether the control state marks the zone as evacuated. Revision is the
	// revision of that control state.
	Evacuated bool   `json:"emptied"`
	Revision  uint64 `json:"stamp"`
	// OpenRequests is the number of requests in progress or queued in the zone.
	OpenRequests int64 `json:"open"`
	// LaggingNodes lists the addresses of the nodes that have not applied Revision yet.
	LaggingNodes []string `json:"behind"`
	// Done is set while the zone is evacuated, no request is open and no node lags. DoneFor is how
	// long Done has been set, in the format of time.Duration.String.
	Done    bool   `json:"done"`
	DoneFor string `json:"done_for,omitempty"`
}

// DrainStatus returns the evacuation status of a zone.
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
			since = now // became drained after the last tick
		}
		d.DoneFor = (now - since).String()
	}
	return d
}

// updateDrainedZones records when each evacuated zone became drained.
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
