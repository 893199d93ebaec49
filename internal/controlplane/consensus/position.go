// Package consensus holds the operator's word on the cores: acceptors that keep
// it, and the proposer of the duty core that writes it. Both are plain decision
// values. (DESIGN 6)
package consensus

import "cmp"

// Position orders accepted words: by the epoch that wrote them, then by stamp.
type Position struct {
	Term     uint64 `msgpack:"e" json:"Epoch"`
	Revision uint64 `msgpack:"s" json:"Stamp"`
}

// Compare orders two marks.
func (position Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(position.Term, o.Term), cmp.Compare(position.Revision, o.Revision))
}
