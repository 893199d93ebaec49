package membership

import "curlewwalk/internal/retrybudget"

// Node is the soft state of one sidecar. Only that sidecar changes it. (DESIGN 7.1)
type Node struct {
	Addr string `msgpack:"a" json:"address"`
	// Incarnation identifies the sidecar's process. Each start draws a new value.
	Incarnation uint64 `msgpack:"b" json:"boot"`
	// Version counts the changes of this state within an incarnation. It excludes the fields
	// documented as changing without Version.
	Version uint64 `msgpack:"r" json:"rev"`
	Zone    string `msgpack:"l" json:"locality"`
	// AppliedRevision is the revision of the control state that the sidecar has in force. It
	// changes without Version.
	AppliedRevision uint64    `msgpack:"s,omitempty" json:"stamp"`
	Backends        []Backend `msgpack:"be,omitempty" json:"backends"`
	// Departed are the newest instances that have announced their shutdown.
	Departed []string `msgpack:"d,omitempty" json:"departed,omitempty"`
	// Refutation increases when the node refutes a suspicion against it. Its JSON name is
	// "incarnation", whereas Incarnation has the JSON name "boot". Suspects lists the nodes that
	// this node suspects. Both change without Version.
	Refutation uint64      `msgpack:"in,omitempty" json:"incarnation"`
	Suspects   []Suspicion `msgpack:"ac,omitempty" json:"accuses,omitempty"`
	// OpenRequests counts the requests that are in progress or queued at the node's own backends,
	// by zone. It changes without Version.
	OpenRequests map[string]int64 `msgpack:"op,omitempty" json:"open,omitempty"`
	// Budgets are the node's own counts by contract; they change without Version.
	Budgets map[string]retrybudget.Counts `msgpack:"bu,omitempty" json:"budgets,omitempty"`
	// Sequence numbers the heartbeats of an incarnation, so that a heartbeat that arrives out of
	// order does not replace newer state. Older versions send zero.
	Sequence uint `msgpack:"t,omitempty" json:"-"`
}
