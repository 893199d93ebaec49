package membership

import (
	"errors"

	"curlewwalk/internal/retrybudget"
)

// KindHeartbeat is the message kind of a heartbeat on the wire.
const KindHeartbeat = "hail"

// ErrNotHeartbeat answers a call of KindHeartbeat that is not a Heartbeat. Its text is part of
// the protocol.
var ErrNotHeartbeat = errors.New("not a heartbeat")

// Heartbeat is what each process sends to the control plane replicas, and what they respond:
// the sender's own state and the replicas that it knows of. To a receiver that has shown that
// it understands them, differences are sent: a NodeStatus for the Node, a digest for the
// Replica, and KnownReplicas only while the table digests differ (see HeartbeatEncoder).
// (DESIGN 7.1)
type Heartbeat struct {
	// Node is a sidecar's state in full; NodeStatus stands for it towards a receiver that has
	// that version of it.
	Node       *Node       `msgpack:"n,omitempty"`
	NodeStatus *NodeStatus `msgpack:"p,omitempty"`
	// Replica is the sender's status, if it is a replica; ReplicaDigest is that status's
	// digest and stands for it towards a receiver that has it. Towards a replica, WallClock
	// then is the sender's wall clock, in nanoseconds since the Unix epoch.
	Replica       *Replica `msgpack:"s,omitempty"`
	ReplicaDigest uint64   `msgpack:"sm,omitempty"`
	WallClock     int64    `msgpack:"w,omitempty"`
	// KnownDigest is the digest of the receiver's status that the sender has.
	KnownDigest uint64 `msgpack:"hv,omitempty"`
	// KnownReplicas are all replicas that the sender knows of.
	KnownReplicas []Replica `msgpack:"k,omitempty"`
	// TableDigest is the digest of the sender's ReplicaTable. It is zero only if the sender's
	// version does not understand differences.
	TableDigest uint64 `msgpack:"d,omitempty"`
	// RequestFull is set in the response to a difference from something that the responder
	// does not have.
	RequestFull bool `msgpack:"wh,omitempty"`
	// Suspected is set in a replica's response to a sidecar that others suspect: the highest
	// Refutation that they suspect it in, which the sidecar has to exceed.
	Suspected *uint64 `msgpack:"ac,omitempty"`
	// Departed is set in a replica's response to a sidecar that sent its Node: instances that
	// announced their shutdown to an earlier process at that address and that the Node lacks.
	Departed []string `msgpack:"de,omitempty"`
	// WantBudgets asks a replica for Budgets: the sums of the counts of all nodes.
	WantBudgets bool                          `msgpack:"su,omitempty"`
	Budgets     map[string]retrybudget.Counts `msgpack:"bu,omitempty"`
}

// NodeVersion returns the incarnation and the version of the node that the heartbeat describes,
// in full or by its status; zeros if it describes none.
func (h Heartbeat) NodeVersion() (incarnation, version uint64) {
	switch {
	case h.Node != nil:
		return h.Node.Incarnation, h.Node.Version
	case h.NodeStatus != nil:
		return h.NodeStatus.Incarnation, h.NodeStatus.Version
	}
	return 0, 0
}
