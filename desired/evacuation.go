package desired

import "slices"

// EvacuationsMost is of how many localities a word remembers the newest order.
const EvacuationsMost = 64 // (ours)

// Evacuation is the record of the newest order to empty a locality, or to take it back.
// (DESIGN 6.3)
type Evacuation struct {
	Locality string `msgpack:"l" json:"locality"`
	// Stamp is of the word that the order made.
	Stamp uint64 `msgpack:"s" json:"stamp"`
}

// EvacuatedAt is the stamp of the newest order on a locality; known is false if none is
// on record: it is then no higher than the stamp.
func (w Word) EvacuatedAt(locality string) (stamp uint64, known bool) {
	for _, e := range w.Evacuations {
		if e.Locality == locality {
			return e.Stamp, true
		}
	}
	return w.Forgotten, false
}

// Evacuate is the word with an order on a locality on record; the oldest records go.
func (w Word) Evacuate(locality string) Word {
	w.Evacuations = slices.DeleteFunc(slices.Clone(w.Evacuations), func(e Evacuation) bool { return e.Locality == locality })
	w.Evacuations = append(w.Evacuations, Evacuation{Locality: locality, Stamp: w.Stamp})
	if len(w.Evacuations) > EvacuationsMost {
		w.Forgotten = w.Evacuations[0].Stamp
		w.Evacuations = w.Evacuations[1:]
	}
	return w
}
