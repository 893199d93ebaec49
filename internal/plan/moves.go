package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"curlewwalk/internal/maintenance"
)

// Moves is what a change would move.
type Moves struct {
	Routes    []string `json:"ways"`
	Contracts []string `json:"contracts"`
	// Services lists those of which something else is said; Limits tells whether
	// clients are bound otherwise.
	Services []string `json:"services,omitempty"`
	Limits   bool     `json:"limits,omitempty"`
	// Capacity lists services and zones whose places change.
	Capacity []Capacity `json:"capacity"`
	// Followers lists nodes that would follow another core.
	Followers []Move `json:"followers"`
	Duty      *Move  `json:"duty,omitempty"`
	// Collectors is the share of traces that would go to another core.
	Collectors float64 `json:"collectors"`
	// AtRisk lists contracts that may not be kept, and why.
	AtRisk []Risk `json:"at_risk"`
	// Windows are the coming maintenance windows and what each would move, after
	// the change; they are shown, and count as no move of the change.
	Windows []Coming `json:"windows,omitempty"`
}

// Coming is a maintenance window and what it would move.
type Coming struct {
	maintenance.Occurrence
	Capacity []Capacity `json:"capacity"`
	AtRisk   []Risk     `json:"at_risk"`
}

// Capacity is how many places a service has in a zone.
type Capacity struct {
	Service string `json:"service"`
	Zone    string `json:"locality"`
	Before  int    `json:"before"`
	After   int    `json:"after"`
}

// Move is something that goes from one core to another.
type Move struct {
	What string `json:"what"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Risk is a contract that a change puts at risk.
type Risk struct {
	Contract string `json:"contract"`
	Why      string `json:"why"`
}

// Any tells whether anything moves.
func (m Moves) Any() bool {
	return m.Limits || len(m.Routes)+len(m.Contracts)+len(m.Services)+len(m.Capacity)+len(m.Followers)+len(m.AtRisk) > 0 || m.Duty != nil || m.Collectors > 0
}

// String is the moves as text.
func (m Moves) String() string {
	var b strings.Builder
	for _, w := range m.Routes {
		fmt.Fprintf(&b, "way %s\n", w)
	}
	for _, c := range m.Contracts {
		fmt.Fprintf(&b, "contract %s\n", c)
	}
	for _, s := range m.Services {
		fmt.Fprintf(&b, "service %s\n", s)
	}
	if m.Limits {
		fmt.Fprintf(&b, "limits: changed\n")
	}
	for _, c := range m.Capacity {
		fmt.Fprintf(&b, "places of %s in %s: %d -> %d\n", c.Service, c.Zone, c.Before, c.After)
	}
	if m.Duty != nil {
		fmt.Fprintf(&b, "%s: %s -> %s\n", m.Duty.What, m.Duty.From, m.Duty.To)
	}
	for _, f := range m.Followers {
		fmt.Fprintf(&b, "%s follows %s -> %s\n", f.What, f.From, f.To)
	}
	if m.Collectors > 0 {
		fmt.Fprintf(&b, "%.0f%% of traces go to another core\n", 100*m.Collectors)
	}
	for _, r := range m.AtRisk {
		fmt.Fprintf(&b, "AT RISK: contract %s: %s\n", r.Contract, r.Why)
	}
	if !m.Any() {
		b.WriteString("nothing moves\n")
	}
	for _, w := range m.Windows {
		fmt.Fprintf(&b, "window %s of %s from %s to %s\n", w.Zone, w.ID, w.Begin.Format(time.RFC3339), w.End.Format(time.RFC3339))
		for _, c := range w.Capacity {
			fmt.Fprintf(&b, "  places of %s in %s: %d -> %d\n", c.Service, c.Zone, c.Before, c.After)
		}
		for _, r := range w.AtRisk {
			fmt.Fprintf(&b, "  AT RISK: contract %s: %s\n", r.Contract, r.Why)
		}
	}
	return b.String()
}

func sorted[T any](list []T, less func(a, b T) int) []T {
	slices.SortFunc(list, less)
	return list
}
