package plan

import (
	"slices"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// fleet is the state of the whole system before or after a change. A fleet is never modified: a
// change returns a new one.
type fleet struct {
	configuration  config.Configuration
	evacuatedZones []string
	nodes          []membership.Node
	replicas       []membership.Replica
}

// newFleet returns the fleet of a snapshot, or the violations of the configuration of the snapshot.
func newFleet(s Snapshot) (f fleet, violations []config.FieldViolation) {
	f = fleet{evacuatedZones: s.EvacuatedZones, nodes: s.Nodes, replicas: s.Replicas}
	if s.Configuration != "" {
		f.configuration, violations = parseConfiguration([]byte(s.Configuration), "snapshot")
	}
	return f, violations
}

// with returns the fleet after a change, or the violations of the change.
func (f fleet) with(c Change) (changed fleet, violations []config.FieldViolation) {
	changed = f
	if c.Configuration != nil {
		if changed.configuration, violations = parseConfiguration(c.Configuration, "desired"); len(violations) > 0 {
			return fleet{}, violations
		}
	}
	for _, addr := range c.Remove {
		if !f.hasNode(addr) && !f.hasReplica(addr) {
			violations = append(violations, config.FieldViolation{Path: addr, Message: "no such node or core"})
		}
	}
	removed := func(addr string) bool { return slices.Contains(c.Remove, addr) }
	changed.nodes = slices.DeleteFunc(slices.Clone(f.nodes), func(n membership.Node) bool { return removed(n.Addr) })
	changed.replicas = slices.DeleteFunc(slices.Clone(f.replicas), func(r membership.Replica) bool { return removed(r.Addr) })
	for _, addr := range c.Add {
		changed.nodes = append(changed.nodes, membership.Node{Addr: addr})
	}
	changed.evacuatedZones = slices.DeleteFunc(append(slices.Clone(f.evacuatedZones), c.Evacuate...), func(zone string) bool { return slices.Contains(c.Restore, zone) })
	return changed, violations
}

// withEvacuated returns the fleet with an additional evacuated zone.
func (f fleet) withEvacuated(zone string) fleet {
	f.evacuatedZones = append(slices.Clone(f.evacuatedZones), zone)
	return f
}

func (f fleet) hasNode(addr string) bool {
	return slices.ContainsFunc(f.nodes, func(n membership.Node) bool { return n.Addr == addr })
}

func (f fleet) hasReplica(addr string) bool {
	return slices.ContainsFunc(f.replicas, func(r membership.Replica) bool { return r.Addr == addr })
}

// parseConfiguration parses and validates a document. source is the path of the violation that
// reports a document that is not JSON.
func parseConfiguration(document []byte, source string) (config.Configuration, []config.FieldViolation) {
	configuration, violations, ok := config.Parse(document)
	if !ok {
		violations = []config.FieldViolation{{Path: source, Message: "not JSON"}}
	}
	return configuration, violations
}
