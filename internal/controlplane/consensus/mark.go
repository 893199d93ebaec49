// Package consensus holds the operator's word on the cores: acceptors that keep
// it, and the proposer of the duty core that writes it. Both are plain decision
// values. (DESIGN 6)
package consensus

import "cmp"

// Mark orders accepted words: by the epoch that wrote them, then by stamp.
type Mark struct {
	Epoch uint64 `msgpack:"e" json:"Epoch"`
	Stamp uint64 `msgpack:"s" json:"Stamp"`
}

// Compare orders two marks.
func (m Mark) Compare(o Mark) int {
	return cmp.Or(cmp.Compare(m.Epoch, o.Epoch), cmp.Compare(m.Stamp, o.Stamp))
}
