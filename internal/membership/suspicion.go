package membership

// Suspicion says that a node, in one incarnation of its boot, does not answer
// its watcher.
type Suspicion struct {
	Addr        string `msgpack:"a" json:"address"`
	Incarnation uint64 `msgpack:"b" json:"boot"`
	Refutation  uint64 `msgpack:"i" json:"incarnation"`
}

// AppliesTo tells whether the accusation holds against what a node last told of
// itself: one told in a later incarnation is refuted.
func (a Suspicion) AppliesTo(n Node) bool {
	return a.Addr == n.Addr && a.Incarnation == n.Incarnation && a.Refutation >= n.Refutation
}
