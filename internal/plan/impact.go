package plan

import (
	"fmt"
	"io"
	"strings"
	"time"

	"curlewwalk/internal/maintenance"
)

// Impact is the impact of a change.
type Impact struct {
	// Routes, Contracts and Services list the new, changed and gone items of the configuration.
	// Limits reports whether the limits of the configuration change.
	Routes    []string `json:"ways"`
	Contracts []string `json:"contracts"`
	Services  []string `json:"services,omitempty"`
	Limits    bool     `json:"limits,omitempty"`
	// Capacities lists the services and zones whose capacity changes.
	Capacities []CapacityChange `json:"capacity"`
	// Watchers lists the sidecars that would watch another control plane node.
	Watchers    []Reassignment `json:"followers"`
	Coordinator *Reassignment  `json:"duty,omitempty"`
	// MovedTraces is the share of traces that would be collected by another control plane node,
	// from 0 to 1.
	MovedTraces float64 `json:"collectors"`
	// AtRisk lists the contracts that may be violated.
	AtRisk []Risk `json:"at_risk"`
	// Windows lists the upcoming maintenance windows and the impact of each window after the
	// change. The windows are shown for information. They do not count as an impact of the change.
	Windows []WindowImpact `json:"windows,omitempty"`
}

// WindowImpact is the impact of a maintenance window.
type WindowImpact struct {
	maintenance.Occurrence
	Capacities []CapacityChange `json:"capacity"`
	AtRisk     []Risk           `json:"at_risk"`
}

// CapacityChange is the change of the number of requests that a service can run concurrently in a
// zone.
type CapacityChange struct {
	Service string `json:"service"`
	Zone    string `json:"locality"`
	Before  int    `json:"before"`
	After   int    `json:"after"`
}

// Reassignment is a change of the control plane node that a subject is assigned to. From and To are
// addresses.
type Reassignment struct {
	Subject string `json:"what"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// Risk is a contract that may be violated, with the reason.
type Risk struct {
	Contract string `json:"contract"`
	Reason   string `json:"why"`
}

// HasChanges reports whether the change has any impact.
func (i Impact) HasChanges() bool {
	lists := len(i.Routes) + len(i.Contracts) + len(i.Services) + len(i.Capacities) + len(i.Watchers) + len(i.AtRisk)
	return lists > 0 || i.Limits || i.Coordinator != nil || i.MovedTraces > 0
}

// String returns the impact as text, with one line per item.
func (i Impact) String() string {
	var b strings.Builder
	i.printConfiguration(&b)
	printCapacities(&b, "", i.Capacities)
	i.printReassignments(&b)
	printRisks(&b, "", i.AtRisk)
	if !i.HasChanges() {
		b.WriteString("nothing moves\n")
	}
	for _, w := range i.Windows {
		fmt.Fprintf(&b, "window %s of %s from %s to %s\n", w.Zone, w.ID, w.Start.Format(time.RFC3339), w.End.Format(time.RFC3339))
		printCapacities(&b, "  ", w.Capacities)
		printRisks(&b, "  ", w.AtRisk)
	}
	return b.String()
}

func (i Impact) printConfiguration(w io.Writer) {
	for _, route := range i.Routes {
		fmt.Fprintf(w, "way %s\n", route)
	}
	for _, contract := range i.Contracts {
		fmt.Fprintf(w, "contract %s\n", contract)
	}
	for _, service := range i.Services {
		fmt.Fprintf(w, "service %s\n", service)
	}
	if i.Limits {
		fmt.Fprintln(w, "limits: changed")
	}
}

func (i Impact) printReassignments(w io.Writer) {
	if i.Coordinator != nil {
		fmt.Fprintf(w, "%s: %s -> %s\n", i.Coordinator.Subject, i.Coordinator.From, i.Coordinator.To)
	}
	for _, watcher := range i.Watchers {
		fmt.Fprintf(w, "%s follows %s -> %s\n", watcher.Subject, watcher.From, watcher.To)
	}
	if i.MovedTraces > 0 {
		fmt.Fprintf(w, "%.0f%% of traces go to another core\n", 100*i.MovedTraces)
	}
}

func printCapacities(w io.Writer, indent string, changes []CapacityChange) {
	for _, c := range changes {
		fmt.Fprintf(w, "%splaces of %s in %s: %d -> %d\n", indent, c.Service, c.Zone, c.Before, c.After)
	}
}

func printRisks(w io.Writer, indent string, risks []Risk) {
	for _, r := range risks {
		fmt.Fprintf(w, "%sAT RISK: contract %s: %s\n", indent, r.Contract, r.Reason)
	}
}
