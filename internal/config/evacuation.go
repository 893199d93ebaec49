package config

import "slices"

// EvacuationsMost is of how many zones a word remembers the newest order.
const EvacuationsMost = 64 // (ours)

// Evacuation is the record of the newest order to empty a zone, or to take it back.
// (DESIGN 6.3)
type Evacuation struct {
	Zone string `msgpack:"l" json:"locality"`
	// Stamp is of the word that the order made.
	Stamp uint64 `msgpack:"s" json:"stamp"`
}

// EvacuatedAt is the stamp of the newest order on a zone; known is false if none is
// on record: it is then no higher than the stamp.
func (w Word) EvacuatedAt(zone string) (stamp uint64, known bool) {
	for _, e := range w.Evacuations {
		if e.Zone == zone {
			return e.Stamp, true
		}
	}
	return w.Forgotten, false
}

// Evacuate is the word with an order on a zone on record; the oldest records go.
func (w Word) Evacuate(zone string) Word {
	w.Evacuations = slices.DeleteFunc(slices.Clone(w.Evacuations), func(e Evacuation) bool { return e.Zone == zone })
	w.Evacuations = append(w.Evacuations, Evacuation{Zone: zone, Stamp: w.Stamp})
	if len(w.Evacuations) > EvacuationsMost {
		w.Forgotten = w.Evacuations[0].Stamp
		w.Evacuations = w.Evacuations[1:]
	}
	return w
}
