package plan

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/trace"
)

// traceSamples is how many traces the share that moves is drawn from.
const traceSamples = 4096

// fleet is the fleet before or after the change.
type fleet struct {
	configuration  config.Configuration
	evacuatedZones []string
	nodes          []membership.Node
	replicas       []membership.Replica
}

// Assess works out what a change of a snapshot would move. The faults are those
// of the input: then nothing was worked out.
func Assess(s Snapshot, c Change) (impact Impact, faults []config.FieldViolation) {
	before := fleet{evacuatedZones: s.EvacuatedZones, nodes: s.Nodes, replicas: s.Replicas}
	if s.Configuration != "" {
		if before.configuration, faults = parseConfiguration([]byte(s.Configuration), "snapshot"); len(faults) > 0 {
			return impact, faults
		}
	}
	after := before
	if c.Configuration != nil {
		if after.configuration, faults = parseConfiguration(c.Configuration, "desired"); len(faults) > 0 {
			return impact, faults
		}
	}
	after.evacuatedZones = slices.DeleteFunc(append(slices.Clone(s.EvacuatedZones), c.Evacuate...), func(l string) bool { return slices.Contains(c.Restore, l) })
	after.nodes = slices.DeleteFunc(slices.Clone(s.Nodes), func(n membership.Node) bool { return slices.Contains(c.Remove, n.Addr) })
	after.replicas = slices.DeleteFunc(slices.Clone(s.Replicas), func(x membership.Replica) bool { return slices.Contains(c.Remove, x.Addr) })
	for _, a := range c.Add {
		after.nodes = append(after.nodes, membership.Node{Addr: a})
	}
	for _, a := range c.Remove {
		if !slices.ContainsFunc(s.Nodes, func(n membership.Node) bool { return n.Addr == a }) && !slices.ContainsFunc(s.Replicas, func(x membership.Replica) bool { return x.Addr == a }) {
			faults = append(faults, config.FieldViolation{Path: a, Message: "no such node or core"})
		}
	}
	if len(faults) > 0 {
		return impact, faults
	}
	impact.Routes = diffByName(before.configuration.Routes, after.configuration.Routes, func(w config.Route) string { return w.Name })
	impact.Contracts = diffByName(before.configuration.Contracts, after.configuration.Contracts, func(k config.Contract) string { return k.Name })
	impact.Services = diffByName(before.configuration.Services, after.configuration.Services, func(x config.Service) string { return x.Name })
	impact.Limits = canonicalJSON(before.configuration.Limits) != canonicalJSON(after.configuration.Limits)
	impact.Capacities = compareCapacity(before, after)
	impact.AtRisk = findRisks(before, after)
	impact.compareAssignments(before, after)
	for _, w := range s.Windows {
		shut := after
		shut.evacuatedZones = append(slices.Clone(after.evacuatedZones), w.Zone)
		impact.Windows = append(impact.Windows, WindowImpact{Occurrence: w, Capacities: compareCapacity(after, shut), AtRisk: findRisks(after, shut)})
	}
	return impact, nil
}

func parseConfiguration(b []byte, what string) (config.Configuration, []config.FieldViolation) {
	configuration, faults, ok := config.Parse(b)
	if !ok {
		faults = []config.FieldViolation{{Path: what, Message: "not JSON"}}
	}
	return configuration, faults
}

// canonicalJSON is what is compared of a part of a configuration.
func canonicalJSON(x any) string {
	b, _ := json.Marshal(x) // our types never fail
	return string(b)
}

// diffByName tells which of two lists' items came, went or changed, by name.
func diffByName[T any](before, after []T, name func(T) string) (out []string) {
	old := map[string]string{}
	for _, x := range before {
		old[name(x)] = canonicalJSON(x)
	}
	for _, x := range after {
		was, had := old[name(x)]
		switch {
		case !had:
			out = append(out, name(x)+": new")
		case was != canonicalJSON(x):
			out = append(out, name(x)+": changed")
		}
		delete(old, name(x))
	}
	for n := range old {
		out = append(out, n+": gone")
	}
	return sortedBy(out, strings.Compare)
}

// capacityByZone counts what may be run, by service and zone.
func (s fleet) capacityByZone() map[[2]string]int {
	out := map[[2]string]int{}
	for _, n := range s.nodes {
		for _, b := range n.Backends {
			if !b.Draining && !slices.Contains(s.evacuatedZones, b.Zone) {
				out[[2]string{b.Service, b.Zone}] += b.Capacity
			}
		}
	}
	return out
}

// capacityOf counts a service's places.
func (s fleet) capacityOf(service string) (n int) {
	for k, c := range s.capacityByZone() {
		if k[0] == service {
			n += c
		}
	}
	return n
}

func compareCapacity(before, after fleet) (out []CapacityChange) {
	was, is := before.capacityByZone(), after.capacityByZone()
	for k := range maps.Keys(was) {
		if _, ok := is[k]; !ok {
			is[k] = 0
		}
	}
	for k, n := range is {
		if was[k] != n {
			out = append(out, CapacityChange{Service: k[0], Zone: k[1], Before: was[k], After: n})
		}
	}
	return sortedBy(out, func(a, b CapacityChange) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Zone, b.Zone))
	})
}

// findRisks lists the contracts of ways whose service is left without backends, or
// with less than half of its places.
func findRisks(before, after fleet) (out []Risk) {
	for _, w := range after.configuration.Routes {
		for _, service := range w.Services() {
			was, is := before.capacityOf(service), after.capacityOf(service)
			switch {
			case is == 0:
				out = append(out, Risk{Contract: w.Contract, Reason: fmt.Sprintf("way %s: no backend of %s", w.Name, service)})
			case 2*is < was:
				out = append(out, Risk{Contract: w.Contract, Reason: fmt.Sprintf("way %s: %s keeps %d of %d places", w.Name, service, is, was)})
			}
		}
	}
	return out
}

// highestRanked is the core that ranks first for a key.
func highestRanked(cores []membership.Replica, key string, name func(membership.Replica) string) string {
	if len(cores) == 0 {
		return "none"
	}
	return rendezvous.Rank(key, cores, name)[0].Addr
}

// compareAssignments works out what goes to other cores: followers, the duty, traces.
func (impact *Impact) compareAssignments(before, after fleet) {
	addr := func(c membership.Replica) string { return c.Addr }
	slot := func(c membership.Replica) string { return fmt.Sprint(c.MemberID) }
	duty := func(s fleet) string {
		if len(s.replicas) == 0 {
			return "none"
		}
		return s.replicas[0].Addr
	}
	if from, to := duty(before), duty(after); from != to {
		impact.Coordinator = &Reassignment{Subject: "duty", From: from, To: to}
	}
	for _, n := range after.nodes {
		from := "none"
		if slices.ContainsFunc(before.nodes, func(o membership.Node) bool { return o.Addr == n.Addr }) {
			from = highestRanked(before.replicas, n.Addr, addr)
		}
		if to := highestRanked(after.replicas, n.Addr, addr); from != to {
			impact.Watchers = append(impact.Watchers, Reassignment{Subject: n.Addr, From: from, To: to})
		}
	}
	moved := 0
	for i := range traceSamples {
		id := trace.TraceID{Lo: trace.ID(i + 1)}.String()
		if highestRanked(before.replicas, id, slot) != highestRanked(after.replicas, id, slot) {
			moved++
		}
	}
	impact.MovedTraces = float64(moved) / traceSamples
}
