package plan

import "curlewwalk/internal/config"

// Assess returns the impact of a change on a snapshot. If the snapshot or the change is invalid,
// Assess returns the violations and an empty impact.
func Assess(s Snapshot, c Change) (Impact, []config.FieldViolation) {
	before, violations := newFleet(s)
	if len(violations) > 0 {
		return Impact{}, violations
	}
	after, violations := before.with(c)
	if len(violations) > 0 {
		return Impact{}, violations
	}
	impact := Impact{
		Routes:      diffByName(before.configuration.Routes, after.configuration.Routes, func(r config.Route) string { return r.Name }),
		Contracts:   diffByName(before.configuration.Contracts, after.configuration.Contracts, func(c config.Contract) string { return c.Name }),
		Services:    diffByName(before.configuration.Services, after.configuration.Services, func(s config.Service) string { return s.Name }),
		Limits:      canonicalJSON(before.configuration.Limits) != canonicalJSON(after.configuration.Limits),
		Capacities:  compareCapacity(before, after),
		Watchers:    compareWatchers(before, after),
		Coordinator: compareCoordinator(before, after),
		MovedTraces: compareTraces(before, after),
		AtRisk:      findRisks(before, after),
	}
	for _, window := range s.Windows {
		during := after.withEvacuated(window.Zone)
		impact.Windows = append(impact.Windows, WindowImpact{
			Occurrence: window,
			Capacities: compareCapacity(after, during),
			AtRisk:     findRisks(after, during),
		})
	}
	return impact, nil
}
