package membership

// Suspicion says that a node does not answer the probes of one of its monitors.
type Suspicion struct {
	Addr        string `msgpack:"a" json:"address"`
	Incarnation uint64 `msgpack:"b" json:"boot"`
	// Refutation is the highest that the monitor knew of the node.
	Refutation uint64 `msgpack:"i" json:"incarnation"`
}

// AppliesTo reports whether the suspicion still holds against n: a node refutes it with a
// higher Refutation, and it does not concern another incarnation.
func (s Suspicion) AppliesTo(n Node) bool {
	return s.Addr == n.Addr && s.Incarnation == n.Incarnation && s.Refutation >= n.Refutation
}
