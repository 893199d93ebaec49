package consensus

import "cmp"

// Position orders accepted control states: by the term that wrote them, then by revision. The
// JSON keys are those of stored files.
type Position struct {
	Term     uint64 `msgpack:"e" json:"Epoch"`
	Revision uint64 `msgpack:"s" json:"Stamp"`
}

// Compare is negative if the position is before another one, and positive if it is after it.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Term, other.Term), cmp.Compare(p.Revision, other.Revision))
}
