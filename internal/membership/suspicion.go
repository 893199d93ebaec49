package membership

// Suspicion states that a node does not respond to the probes of one of its monitors.
type Suspicion struct {
	Addr        string `msgpack:"a" json:"address"`
	Incarnation uint64 `msgpack:"b" json:"boot"`
	// Refutation is the node's highest refutation that the monitor knew.
	Refutation uint64 `msgpack:"i" json:"incarnation"`
}

// AppliesTo reports whether the suspicion still applies to n. A node refutes a suspicion with a
// higher Refutation. A suspicion does not apply to another incarnation.
func (s Suspicion) AppliesTo(n Node) bool {
	return s.Addr == n.Addr && s.Incarnation == n.Incarnation && s.Refutation >= n.Refutation
}
