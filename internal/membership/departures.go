package membership

import "slices"

// MaxDepartures is the maximum number of departures of its backends that a sidecar remembers. It is
// far above the number of instances that leave a machine while their late announcements may still
// be in transit. There is no time limit, since an announcement may arrive arbitrarily late.
const MaxDepartures = 256

// MaxReportedDepartures is the maximum number of departures that a sidecar reports to the control
// plane. It reports the newest ones.
const MaxReportedDepartures = 32

// Departures holds the newest MaxDepartures backend instances that announced their shutdown. An
// instance is one incarnation of a backend, so its shutdown is final: an announcement that arrives
// later does not restore the instance. The value is immutable. (DESIGN 9.1)
type Departures struct {
	instances []string // the oldest first
}

// Contains reports whether the instance has announced its shutdown.
func (d Departures) Contains(instance string) bool { return slices.Contains(d.instances, instance) }

// Add returns d with the given instances added. changed is false if d already contains all of them.
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

// Len returns the number of instances.
func (d Departures) Len() int { return len(d.instances) }

// Without returns the instances that are not in others, oldest first.
func (d Departures) Without(others []string) []string {
	return slices.DeleteFunc(d.List(), func(instance string) bool { return slices.Contains(others, instance) })
}

// List returns the instances, oldest first.
func (d Departures) List() []string { return slices.Clone(d.instances) }
