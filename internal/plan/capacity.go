package plan

import (
	"cmp"
	"fmt"
	"slices"

	"curlewwalk/internal/config"
)

// serviceZone is a service in one zone.
type serviceZone struct{ service, zone string }

// capacityByZone is how many requests may run at once, in all backends that are given new ones.
func (f fleet) capacityByZone() map[serviceZone]int {
	capacities := map[serviceZone]int{}
	for _, node := range f.nodes {
		for _, backend := range node.Backends {
			if !backend.Draining && !slices.Contains(f.evacuatedZones, backend.Zone) {
				capacities[serviceZone{backend.Service, backend.Zone}] += backend.Capacity
			}
		}
	}
	return capacities
}

// capacityOf is a service's capacity in all zones.
func (f fleet) capacityOf(service string) (total int) {
	for key, capacity := range f.capacityByZone() {
		if key.service == service {
			total += capacity
		}
	}
	return total
}

// compareCapacity lists the services and zones whose capacity changes, sorted.
func compareCapacity(before, after fleet) (changes []CapacityChange) {
	old, current := before.capacityByZone(), after.capacityByZone()
	for key := range old {
		if _, ok := current[key]; !ok {
			current[key] = 0
		}
	}
	for key, capacity := range current {
		if old[key] != capacity {
			changes = append(changes, CapacityChange{Service: key.service, Zone: key.zone, Before: old[key], After: capacity})
		}
	}
	slices.SortFunc(changes, func(a, b CapacityChange) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return changes
}

// findRisks lists the contracts of routes with a service that is left without backends, or with
// less than half of its capacity.
func findRisks(before, after fleet) (risks []Risk) {
	for _, route := range after.configuration.Routes {
		for _, service := range route.Services() {
			if reason := riskOf(route, service, before.capacityOf(service), after.capacityOf(service)); reason != "" {
				risks = append(risks, Risk{Contract: route.Contract, Reason: reason})
			}
		}
	}
	return risks
}

// riskOf tells why a service's capacity puts a route at risk, or nothing.
func riskOf(route config.Route, service string, before, after int) string {
	switch {
	case after == 0:
		return fmt.Sprintf("way %s: no backend of %s", route.Name, service)
	case 2*after < before:
		return fmt.Sprintf("way %s: %s keeps %d of %d places", route.Name, service, after, before)
	}
	return ""
}
