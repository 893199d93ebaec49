package config

import "slices"

// MaxDepartures is the number of departed instances that a control state stores. The oldest ones are
// dropped first. An announcement that was sent before a departure may arrive many seconds after it,
// so the number has to cover the departures of the whole fleet in several minutes.
const MaxDepartures = 4096

// HasDeparted reports whether the state records the departure of an instance.
func (s ControlState) HasDeparted(instance string) bool { return slices.Contains(s.Departed, instance) }

// HaveDeparted reports whether the state records the departures of all given instances.
func (s ControlState) HaveDeparted(instances []string) bool {
	return !slices.ContainsFunc(instances, func(instance string) bool { return !s.HasDeparted(instance) })
}

// WithDepartures returns the state with the departures of instances added. The given state is not
// modified. An instance that is already recorded keeps its place.
func (s ControlState) WithDepartures(instances []string) ControlState {
	departed := slices.Clone(s.Departed)
	for _, instance := range instances {
		if !slices.Contains(departed, instance) {
			departed = append(departed, instance)
		}
	}
	s.Departed = departed[max(0, len(departed)-MaxDepartures):]
	return s
}
