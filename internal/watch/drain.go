package watch

import (
	"slices"
	"time"
)

// DrainStatus is the report on a zone that is being emptied, or is.
type DrainStatus struct {
	Zone      string `json:"locality"`
	Evacuated bool   `json:"emptied"`
	Revision  uint64 `json:"stamp"`
	// OpenRequests is what still runs or waits there.
	OpenRequests int64 `json:"open"`
	// LaggingNodes lists the nodes that do not have the stamp in force yet.
	LaggingNodes []string `json:"behind"`
	// Done is set once nothing is open and nobody is behind; For is since when.
	Done    bool   `json:"done"`
	DoneFor string `json:"done_for,omitempty"`
}

// DrainStatus reports on a zone.
func (log *EventLog) DrainStatus(zone string, now time.Duration) DrainStatus {
	d := DrainStatus{Zone: zone}
	if log.state != nil {
		d.Revision, d.Evacuated = log.state.Revision, slices.Contains(log.state.EvacuatedZones(), zone)
	}
	for _, n := range log.nodes {
		d.OpenRequests += n.OpenRequests[zone]
	}
	d.LaggingNodes = log.LaggingNodes(d.Revision)
	if d.Done = d.Evacuated && d.OpenRequests == 0 && len(d.LaggingNodes) == 0; d.Done {
		since, ok := log.drainedSince[zone]
		if !ok {
			since = now // it has come about since the last tick
		}
		d.DoneFor = (now - since).String()
	}
	return d
}

// LaggingNodes lists the nodes that do not have a stamp in force yet.
func (log *EventLog) LaggingNodes(revision uint64) []string {
	out := []string{}
	for _, n := range log.Nodes() {
		if n.AppliedRevision < revision {
			out = append(out, n.Addr)
		}
	}
	return out
}

// updateDrainedZones keeps since when each emptied zone is done.
func (log *EventLog) updateDrainedZones(now time.Duration) {
	if log.state == nil {
		return
	}
	since := map[string]time.Duration{}
	for _, zone := range log.state.EvacuatedZones() {
		if !log.DrainStatus(zone, now).Done {
			continue
		}
		since[zone] = now
		if old, ok := log.drainedSince[zone]; ok {
			since[zone] = old
		}
	}
	log.drainedSince = since
}
