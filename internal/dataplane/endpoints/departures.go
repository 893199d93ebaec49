package endpoints

import (
	"slices"

	"curlewwalk/internal/membership"
)

// MarkDeparted records the departure of instances, which may be unknown.
func (r Registry) MarkDeparted(instances ...string) Registry {
	if _, changed := r.departures.Add(instances...); !changed {
		return r
	}
	next := r.clone().withDepartures(instances...)
	next.Version++
	next.drainEndpoints(instances)
	return next
}

// withDepartures returns the registry with departures added. Those that the control state does not
// record are added to unrecorded.
func (r Registry) withDepartures(instances ...string) Registry {
	r.departures, _ = r.departures.Add(instances...)
	r.unrecorded = slices.Clone(r.unrecorded)
	for _, instance := range instances {
		if !r.IsRecorded(instance) && !slices.Contains(r.unrecorded, instance) {
			r.unrecorded = append(r.unrecorded, instance)
		}
	}
	r.unrecorded = r.unrecorded[max(0, len(r.unrecorded)-membership.MaxDepartures):]
	return r
}

// drainEndpoints marks the endpoints of instances as draining. The registry must be a clone.
func (r Registry) drainEndpoints(instances []string) {
	for _, instance := range instances {
		if e, known := r.endpoints[instance]; known {
			e.Draining = true
			r.endpoints[instance] = e
		}
	}
}

// WithRecorded returns the registry after the control state has recorded departures. recorded lists
// all of them, those of other sidecars too, and must not be modified. An endpoint among them is
// marked as draining: its departure was announced to another process.
func (r Registry) WithRecorded(recorded []string) Registry {
	if slices.Equal(recorded, r.recorded) {
		return r
	}
	next := r
	next.recorded = recorded
	next.unrecorded = slices.DeleteFunc(slices.Clone(r.unrecorded), next.IsRecorded)
	if len(next.unrecorded) > 0 && len(next.unrecorded) < len(r.unrecorded) {
		next.Version++ // more departures than one heartbeat reports: the others are reported now
	}
	var departed []string
	for instance, e := range r.endpoints {
		if !e.Draining && next.IsRecorded(instance) {
			departed = append(departed, instance)
		}
	}
	return next.MarkDeparted(departed...)
}

// HasDeparted reports whether an instance has announced its departure, to this process or, as far
// as the control state tells, to another one.
func (r Registry) HasDeparted(instance string) bool {
	return r.departures.Contains(instance) || r.IsRecorded(instance)
}

// IsRecorded reports whether the control state records the departure of an instance.
func (r Registry) IsRecorded(instance string) bool { return slices.Contains(r.recorded, instance) }

// UnrecordedDepartures returns the newest departures that the control state does not record, up to
// the number that is reported to the control plane.
func (r Registry) UnrecordedDepartures() []string {
	return slices.Clone(r.unrecorded[max(0, len(r.unrecorded)-membership.MaxReportedDepartures):])
}
