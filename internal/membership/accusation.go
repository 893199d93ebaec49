package membership

// Accusation says that a node, in one incarnation of its boot, does not answer
// its watcher.
type Accusation struct {
	Addr string `msgpack:"a" json:"address"`
	Boot uint64 `msgpack:"b" json:"boot"`
	Inc  uint64 `msgpack:"i" json:"incarnation"`
}

// Against tells whether the accusation holds against what a node last told of
// itself: one told in a later incarnation is refuted.
func (a Accusation) Against(n Node) bool {
	return a.Addr == n.Addr && a.Boot == n.Boot && a.Inc >= n.Inc
}
