package plan

import (
	"curlewwalk/internal/maintenance"
	"curlewwalk/internal/membership"
)

// Snapshot is the state of the system against which a change is assessed. It comes from a live
// control plane node or from a file.
type Snapshot struct {
	// Configuration is the JSON document of a config.Configuration. It is empty if no configuration
	// was submitted.
	Configuration string `json:"desired"`
	// EvacuatedZones lists the zones that are evacuated by the operator or by a maintenance window.
	EvacuatedZones []string `json:"emptied"`
	// Nodes lists the sidecars with their backends.
	Nodes []membership.Node `json:"nodes"`
	// Replicas lists the replicas of the control plane, sorted by member ID.
	Replicas []membership.Replica `json:"cores"`
	// Windows lists the upcoming maintenance windows.
	Windows []maintenance.Occurrence `json:"windows,omitempty"`
}
