package membership

import (
	"errors"

	"curlewwalk/internal/retrybudget"
)

// KindHeartbeat is the message kind of a heartbeat on the wire.
const KindHeartbeat = "hail"

// ErrNotHeartbeat is the response to a call of KindHeartbeat that is not a Heartbeat. Its text is
// part of the protocol.
var ErrNotHeartbeat = errors.New("not a heartbeat")

// Heartbeat is the message that each process sends to the control plane replicas, and also their
// response. It carries the sender's own state and the replicas that the sender knows. To a receiver
// whose version supports partial heartbeats, the sender omits what that receiver already has: a
// NodeStatus replaces the Node, a digest replaces the Replica, and KnownReplicas is sent only while
// the table digests differ (see HeartbeatEncoder). (DESIGN 7.1)
type Heartbeat struct {
	// Node is a sidecar's complete state. NodeStatus replaces it if the receiver has that version
	// of the Node.
	Node       *Node       `msgpack:"n,omitempty"`
	NodeStatus *NodeStatus `msgpack:"p,omitempty"`
	// Replica is the sender's status, if the sender is a replica. ReplicaDigest is the digest of
	// that status and replaces it if the receiver has the status. A message to a replica that has
	// ReplicaDigest also has WallClock, since the digest does not cover it: the sender's wall
	// clock, in nanoseconds since the Unix epoch.
	Replica       *Replica `msgpack:"s,omitempty"`
	ReplicaDigest uint64   `msgpack:"sm,omitempty"`
	WallClock     int64    `msgpack:"w,omitempty"`
	// KnownDigest is the digest of the newest status of the receiver that the sender has. The
	// receiver omits its status from the response if that digest is current.
	KnownDigest uint64 `msgpack:"hv,omitempty"`
	// KnownReplicas are all replicas that the sender knows.
	KnownReplicas []Replica `msgpack:"k,omitempty"`
	// TableDigest is the digest of the sender's ReplicaTable. It is zero only if the sender's
	// version does not support partial heartbeats.
	TableDigest uint64 `msgpack:"d,omitempty"`
	// RequestFull is set in the response to a partial heartbeat that refers to state that the
	// responder does not have.
	RequestFull bool `msgpack:"wh,omitempty"`
	// Suspected is set in a replica's response to a sidecar that other sidecars suspect. It is the
	// highest Refutation in their suspicions; the sidecar must issue a higher one.
	Suspected *uint64 `msgpack:"ac,omitempty"`
	// Departed is set in a replica's response to a sidecar that sent its Node. It lists the
	// instances that announced their shutdown to an earlier process at the sidecar's address and
	// that the Node lacks.
	Departed []string `msgpack:"de,omitempty"`
	// WantBudgets requests Budgets from a replica: the sums of the counts of all nodes.
	WantBudgets bool                          `msgpack:"su,omitempty"`
	Budgets     map[string]retrybudget.Counts `msgpack:"bu,omitempty"`
}
