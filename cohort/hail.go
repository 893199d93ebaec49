package cohort

import "curlewwalk/contract"

// Hail is how processes find and tell one another: who calls, and whom it
// knows. The receipt is a Hail too.
type Hail struct {
	Node *Node  `msgpack:"n,omitempty"`
	Seat *Seat  `msgpack:"s,omitempty"`
	Know []Seat `msgpack:"k,omitempty"`
	// Accused is set in a core's receipt to a sidecar that others accuse: the
	// highest incarnation that they accuse.
	Accused *uint64 `msgpack:"ac,omitempty"`
	// Budgets are the sums over all nodes, in a core's receipt to a sidecar.
	Budgets map[string]contract.Tally `msgpack:"bu,omitempty"`
}

// KindHail is the call's kind on the wire.
const KindHail = "hail"
