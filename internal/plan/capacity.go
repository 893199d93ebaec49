package plan

import (
	"cmp"
	"fmt"
	"slices"

	"curlewwalk/internal/config"
)

// serviceZone identifies a service in one zone.
type serviceZone struct{ service, zone string }

// capacityByZone returns the number of requests that may run concurrently for each service and
// zone, in all backends that receive new requests.
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

// capacityOf returns the total capacity of a service in all zones.
func (f fleet) capacityOf(service string) (total int) {
	for key, capacity := range f.capacityByZone() {
		if key.service == service {
			total += capacity
		}
	}
	return total
}

// compareCapacity returns the changes of capacity, sorted by service and zone.
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

// findRisks returns the contracts of routes to a service that has no capacity after the change,
// even if it had none before, or less than half of its earlier capacity. A contract is listed once
// for each such route and service.
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

// riskOf returns the reason why the capacity of a service puts a route at risk, or the empty string
// if it does not.
func riskOf(route config.Route, service string, before, after int) string {
	switch {
	case after == 0:
		return fmt.Sprintf("way %s: no backend of %s", route.Name, service)
	case 2*after < before:
		return fmt.Sprintf("way %s: %s keeps %d of %d places", route.Name, service, after, before)
	}
	return ""
}
