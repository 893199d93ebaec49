package config

import "slices"

// MaxEvacuations is of how many zones a word remembers the newest order.
const MaxEvacuations = 64 // (ours)

// Evacuation is the record of the newest order to empty a zone, or to take it back.
// (DESIGN 6.3)
type Evacuation struct {
	Zone string `msgpack:"l" json:"locality"`
	// Revision is of the word that the order made.
	Revision uint64 `msgpack:"s" json:"stamp"`
}

// EvacuationRevision is the stamp of the newest order on a zone; known is false if none is
// on record: it is then no higher than the stamp.
func (state ControlState) EvacuationRevision(zone string) (revision uint64, known bool) {
	for _, e := range state.Evacuations {
		if e.Zone == zone {
			return e.Revision, true
		}
	}
	return state.CompactedRevision, false
}

// WithEvacuation is the word with an order on a zone on record; the oldest records go.
func (state ControlState) WithEvacuation(zone string) ControlState {
	state.Evacuations = slices.DeleteFunc(slices.Clone(state.Evacuations), func(e Evacuation) bool { return e.Zone == zone })
	state.Evacuations = append(state.Evacuations, Evacuation{Zone: zone, Revision: state.Revision})
	if len(state.Evacuations) > MaxEvacuations {
		state.CompactedRevision = state.Evacuations[0].Revision
		state.Evacuations = state.Evacuations[1:]
	}
	return state
}
