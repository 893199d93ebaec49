package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"curlewwalk/internal/maintenance"
)

// Impact is what a change would move.
type Impact struct {
	Routes    []string `json:"ways"`
	Contracts []string `json:"contracts"`
	// Services lists those of which something else is said; Limits tells whether
	// clients are bound otherwise.
	Services []string `json:"services,omitempty"`
	Limits   bool     `json:"limits,omitempty"`
	// Capacities lists services and zones whose places change.
	Capacities []CapacityChange `json:"capacity"`
	// Watchers lists nodes that would follow another core.
	Watchers    []Reassignment `json:"followers"`
	Coordinator *Reassignment  `json:"duty,omitempty"`
	// MovedTraces is the share of traces that would go to another core.
	MovedTraces float64 `json:"collectors"`
	// AtRisk lists contracts that may not be kept, and why.
	AtRisk []Risk `json:"at_risk"`
	// Windows are the coming maintenance windows and what each would move, after
	// the change; they are shown, and count as no move of the change.
	Windows []WindowImpact `json:"windows,omitempty"`
}

// WindowImpact is a maintenance window and what it would move.
type WindowImpact struct {
	maintenance.Occurrence
	Capacities []CapacityChange `json:"capacity"`
	AtRisk     []Risk           `json:"at_risk"`
}

// CapacityChange is how many places a service has in a zone.
type CapacityChange struct {
	Service string `json:"service"`
	Zone    string `json:"locality"`
	Before  int    `json:"before"`
	After   int    `json:"after"`
}

// Reassignment is something that goes from one core to another.
type Reassignment struct {
	Subject string `json:"what"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// Risk is a contract that a change puts at risk.
type Risk struct {
	Contract string `json:"contract"`
	Reason   string `json:"why"`
}

// HasChanges tells whether anything moves.
func (impact Impact) HasChanges() bool {
	return impact.Limits || len(impact.Routes)+len(impact.Contracts)+len(impact.Services)+len(impact.Capacities)+len(impact.Watchers)+len(impact.AtRisk) > 0 || impact.Coordinator != nil || impact.MovedTraces > 0
}

// String is the moves as text.
func (impact Impact) String() string {
	var b strings.Builder
	for _, w := range impact.Routes {
		fmt.Fprintf(&b, "way %s\n", w)
	}
	for _, c := range impact.Contracts {
		fmt.Fprintf(&b, "contract %s\n", c)
	}
	for _, s := range impact.Services {
		fmt.Fprintf(&b, "service %s\n", s)
	}
	if impact.Limits {
		fmt.Fprintf(&b, "limits: changed\n")
	}
	for _, c := range impact.Capacities {
		fmt.Fprintf(&b, "places of %s in %s: %d -> %d\n", c.Service, c.Zone, c.Before, c.After)
	}
	if impact.Coordinator != nil {
		fmt.Fprintf(&b, "%s: %s -> %s\n", impact.Coordinator.Subject, impact.Coordinator.From, impact.Coordinator.To)
	}
	for _, f := range impact.Watchers {
		fmt.Fprintf(&b, "%s follows %s -> %s\n", f.Subject, f.From, f.To)
	}
	if impact.MovedTraces > 0 {
		fmt.Fprintf(&b, "%.0f%% of traces go to another core\n", 100*impact.MovedTraces)
	}
	for _, r := range impact.AtRisk {
		fmt.Fprintf(&b, "AT RISK: contract %s: %s\n", r.Contract, r.Reason)
	}
	if !impact.HasChanges() {
		b.WriteString("nothing moves\n")
	}
	for _, w := range impact.Windows {
		fmt.Fprintf(&b, "window %s of %s from %s to %s\n", w.Zone, w.ID, w.Start.Format(time.RFC3339), w.End.Format(time.RFC3339))
		for _, c := range w.Capacities {
			fmt.Fprintf(&b, "  places of %s in %s: %d -> %d\n", c.Service, c.Zone, c.Before, c.After)
		}
		for _, r := range w.AtRisk {
			fmt.Fprintf(&b, "  AT RISK: contract %s: %s\n", r.Contract, r.Reason)
		}
	}
	return b.String()
}

func sortedBy[T any](list []T, less func(a, b T) int) []T {
	slices.SortFunc(list, less)
	return list
}
