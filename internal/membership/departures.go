package membership

import "slices"

// MaxDepartures is how many departures of its backends a sidecar remembers: many more than
// leave a machine while their late announcements may still be under way. There is no limit in
// time, since an announcement may arrive arbitrarily late.
const MaxDepartures = 256 // (ours)

// MaxReportedDepartures is how many of them, the newest, a sidecar reports to the control plane.
const MaxReportedDepartures = 32 // (ours)

// Departures are the newest MaxDepartures backend instances that announced their shutdown. An
// instance is one incarnation of a backend, so its shutdown is final: no announcement that
// arrives later brings it back. The value is immutable. (DESIGN 9.1)
type Departures struct {
	instances []string // the oldest first
}

// Contains reports whether an instance has announced its shutdown.
func (d Departures) Contains(instance string) bool { return slices.Contains(d.instances, instance) }

// Add returns the departures with more instances; changed is false if all were known.
func (d Departures) Add(instances ...string) (next Departures, changed bool) {
	added := slices.Clone(d.instances)
	for _, instance := range instances {
		if !slices.Contains(added, instance) {
			added = append(added, instance)
		}
	}
	if len(added) == len(d.instances) {
		return d, false
	}
	return Departures{instances: added}.Newest(MaxDepartures), true
}

// Newest returns the newest count departures.
func (d Departures) Newest(count int) Departures {
	return Departures{instances: d.instances[max(0, len(d.instances)-count):]}
}

// Last returns the newest instance; empty if there is none.
func (d Departures) Last() string {
	if len(d.instances) == 0 {
		return ""
	}
	return d.instances[len(d.instances)-1]
}

// Len returns the number of instances.
func (d Departures) Len() int { return len(d.instances) }

// Without lists the instances that are not among others, the oldest first.
func (d Departures) Without(others []string) []string {
	return slices.DeleteFunc(d.List(), func(instance string) bool { return slices.Contains(others, instance) })
}

// List lists the instances, the oldest first.
func (d Departures) List() []string { return slices.Clone(d.instances) }
