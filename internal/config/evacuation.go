package config

import "slices"

// MaxEvacuations is for how many zones a control state remembers the newest order.
const MaxEvacuations = 64 // (ours)

// Evacuation is the newest order of the operator to evacuate a zone, or to revoke that.
// (DESIGN 6.3)
type Evacuation struct {
	Zone string `msgpack:"l" json:"locality"`
	// Revision is that of the control state that the order made.
	Revision uint64 `msgpack:"s" json:"stamp"`
}

// EvacuationRevision returns the revision of the newest order on a zone. If none is remembered,
// known is false and the revision is an upper bound.
func (s ControlState) EvacuationRevision(zone string) (revision uint64, known bool) {
	for _, e := range s.Evacuations {
		if e.Zone == zone {
			return e.Revision, true
		}
	}
	return s.CompactedRevision, false
}

// WithEvacuation returns the state with an order on a zone at its revision. The oldest order is
// dropped if there are too many.
func (s ControlState) WithEvacuation(zone string) ControlState {
	s.Evacuations = slices.DeleteFunc(slices.Clone(s.Evacuations), func(e Evacuation) bool { return e.Zone == zone })
	s.Evacuations = append(s.Evacuations, Evacuation{Zone: zone, Revision: s.Revision})
	if len(s.Evacuations) > MaxEvacuations {
		s.CompactedRevision = s.Evacuations[0].Revision
		s.Evacuations = s.Evacuations[1:]
	}
	return s
}
