package plan

import (
	"curlewwalk/internal/maintenance"
	"curlewwalk/internal/membership"
)

// Snapshot is the state that a change is assessed against, from a live control plane node or from
// a file.
type Snapshot struct {
	// Configuration is the JSON document of a config.Configuration; empty: none was put.
	Configuration  string   `json:"desired"`
	EvacuatedZones []string `json:"emptied"`
	// Nodes are the sidecars, with their backends.
	Nodes []membership.Node `json:"nodes"`
	// Replicas are the control plane's, sorted by member ID.
	Replicas []membership.Replica `json:"cores"`
	// Windows are the upcoming maintenance windows.
	Windows []maintenance.Occurrence `json:"windows,omitempty"`
}
