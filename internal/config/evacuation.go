package config

import "slices"

// MaxEvacuations is the number of zones for which a control state stores the newest order.
const MaxEvacuations = 64

// Evacuation records the newest order of the operator on a zone: to evacuate it, or to revoke the
// evacuation. It does not record which of the two: ControlState.EvacuatedByOperator lists the zones
// whose newest order is to evacuate. (DESIGN 6.3)
type Evacuation struct {
	Zone string `msgpack:"l" json:"locality"`
	// Revision is the revision of the control state that the order created.
	Revision uint64 `msgpack:"s" json:"stamp"`
}

// EvacuationRevision returns the revision of the newest order on a zone. If the state stores no
// order on the zone, known is false. In that case, no order on the zone that was dropped from the
// state has a revision above the returned one.
func (s ControlState) EvacuationRevision(zone string) (revision uint64, known bool) {
	for _, e := range s.Evacuations {
		if e.Zone == zone {
			return e.Revision, true
		}
	}
	return s.CompactedRevision, false
}

// WithEvacuation returns the state with an order on a zone, recorded at the revision of the state.
// If there are more than MaxEvacuations orders, the oldest one is dropped.
func (s ControlState) WithEvacuation(zone string) ControlState {
	s.Evacuations = slices.DeleteFunc(slices.Clone(s.Evacuations), func(e Evacuation) bool { return e.Zone == zone })
	s.Evacuations = append(s.Evacuations, Evacuation{Zone: zone, Revision: s.Revision})
	if len(s.Evacuations) > MaxEvacuations {
		s.CompactedRevision = s.Evacuations[0].Revision
		s.Evacuations = s.Evacuations[1:]
	}
	return s
}
