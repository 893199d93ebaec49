package cohort

// Hail is how processes find and tell one another: who calls, and whom it
// knows. The receipt is a Hail too.
type Hail struct {
	Node *Node  `msgpack:"n,omitempty"`
	Seat *Seat  `msgpack:"s,omitempty"`
	Know []Seat `msgpack:"k,omitempty"`
}

// KindHail is the call's kind on the wire.
const KindHail = "hail"
