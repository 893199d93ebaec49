package consensus

import "cmp"

// Position orders accepted control states, first by the term under which they were proposed,
// then by revision. The revision is that of the state. A state that is proposed again under a
// later term keeps its revision. The JSON keys are those of stored files.
type Position struct {
	Term     uint64 `msgpack:"e" json:"Epoch"`
	Revision uint64 `msgpack:"s" json:"Stamp"`
}

// Compare returns a negative number if p is before other, zero if they are equal, and a
// positive number if p is after other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Term, other.Term), cmp.Compare(p.Revision, other.Revision))
}
