package membership

import "curlewwalk/internal/retrybudget"

// Heartbeat is how processes find and tell one another: who calls, and whom it
// knows. The response is a Heartbeat too. To one that has shown that it understands
// them, differences are told: a node's pulse, a seat's mark, and whom one knows
// only while the digests differ. (DESIGN 7.1)
type Heartbeat struct {
	Node       *Node       `msgpack:"n,omitempty"`
	NodeStatus *NodeStatus `msgpack:"p,omitempty"`
	Replica    *Replica    `msgpack:"s,omitempty"`
	// ReplicaDigest is told instead of the seat: the mark of the one told before. Wall is the
	// core's wall clock then, if it is told to a core.
	ReplicaDigest uint64 `msgpack:"sm,omitempty"`
	WallClock     int64  `msgpack:"w,omitempty"`
	// KnownDigest is the mark of the seat that the caller has of whom it heartbeats.
	KnownDigest   uint64    `msgpack:"hv,omitempty"`
	KnownReplicas []Replica `msgpack:"k,omitempty"`
	// TableDigest is that of the seats that the teller knows. It is never zero: none is
	// told by a version that does not understand differences.
	TableDigest uint64 `msgpack:"d,omitempty"`
	// RequestFull is set in a response to one who told a difference from what is not known.
	RequestFull bool `msgpack:"wh,omitempty"`
	// Suspected is set in a core's response to a sidecar that others accuse: the
	// highest incarnation that they accuse.
	Suspected *uint64 `msgpack:"ac,omitempty"`
	// Departed is set in a core's response to a sidecar that was told whole: instances
	// that have said that they leave, to an earlier process there, and that it didn't tell.
	Departed []string `msgpack:"de,omitempty"`
	// WantBudgets asks for Budgets, the sums over all nodes, in a core's response to a
	// sidecar.
	WantBudgets bool                          `msgpack:"su,omitempty"`
	Budgets     map[string]retrybudget.Counts `msgpack:"bu,omitempty"`
}

// NodeVersion is the boot and the revision of the sidecar that it tells of, whole or by its pulse;
// zero if it tells of none.
func (h Heartbeat) NodeVersion() (incarnation, version uint64) {
	switch {
	case h.Node != nil:
		return h.Node.Incarnation, h.Node.Version
	case h.NodeStatus != nil:
		return h.NodeStatus.Incarnation, h.NodeStatus.Version
	}
	return 0, 0
}

// KindHeartbeat is the call's kind on the wire.
const KindHeartbeat = "hail"
