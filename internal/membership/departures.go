package membership

import "slices"

// MaxDepartures is how many departures are remembered of a sidecar's backends: many more
// than leave a machine while their late announcements may still be under way. There is no
// bound in time, since nobody tells how late an announcement may come. (ours)
const MaxDepartures = 256

// MaxReportedDepartures is how many of them, the newest, a sidecar tells the cores. (ours)
const MaxReportedDepartures = 32

// Departures are the instances that have said that they leave, the newest MostDepartures.
// An instance is one life of a backend, so its word is final: no announcement that comes
// later brings it back. The value is immutable. (DESIGN 9.1)
type Departures struct {
	instances []string // the oldest first
}

// Contains tells whether an instance has said that it leaves.
func (d Departures) Contains(instance string) bool { return slices.Contains(d.instances, instance) }

// Add adds instances; changed is false if all of them were known.
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

// Newest are the newest of them.
func (d Departures) Newest(count int) Departures {
	return Departures{instances: d.instances[max(0, len(d.instances)-count):]}
}

// Last is the newest; empty if there is none.
func (d Departures) Last() string {
	if len(d.instances) == 0 {
		return ""
	}
	return d.instances[len(d.instances)-1]
}

// Len tells how many there are.
func (d Departures) Len() int { return len(d.instances) }

// Without lists the instances that are not among others.
func (d Departures) Without(others []string) []string {
	return slices.DeleteFunc(d.List(), func(instance string) bool { return slices.Contains(others, instance) })
}

// List lists the instances, the oldest first.
func (d Departures) List() []string { return slices.Clone(d.instances) }
