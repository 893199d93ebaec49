// Package plan shows what a change would move, and changes nothing.
// (DESIGN 16)
package plan

import (
	"curlewwalk/internal/maintenance"
	"curlewwalk/internal/membership"
)

// Snapshot is what a plan starts from: a core's state, from a live core or a
// file.
type Snapshot struct {
	Configuration  string               `json:"desired"`
	EvacuatedZones []string             `json:"emptied"`
	Nodes          []membership.Node    `json:"nodes"`
	Replicas       []membership.Replica `json:"cores"`
	// Windows are the coming maintenance windows.
	Windows []maintenance.Occurrence `json:"windows,omitempty"`
}
