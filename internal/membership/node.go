package membership

import "curlewwalk/internal/retrybudget"

// Node is the soft state of one sidecar. Only the sidecar itself changes it. (DESIGN 7.1)
type Node struct {
	Addr string `msgpack:"a" json:"address"`
	// Incarnation identifies the sidecar's process; it is drawn anew at each start.
	Incarnation uint64 `msgpack:"b" json:"boot"`
	// Version counts the changes of this state within an incarnation, except for those
	// fields that say that they change without it.
	Version uint64 `msgpack:"r" json:"rev"`
	Zone    string `msgpack:"l" json:"locality"`
	// AppliedRevision is the revision of the control state that the sidecar has in force;
	// it changes without Version.
	AppliedRevision uint64    `msgpack:"s,omitempty" json:"stamp"`
	Backends        []Backend `msgpack:"be,omitempty" json:"backends"`
	// Departed are the newest of the instances that have announced that they shut down.
	Departed []string `msgpack:"d,omitempty" json:"departed,omitempty"`
	// Refutation rises when the node refutes a suspicion against it; Suspects lists the
	// nodes that it suspects itself. Both change without Version.
	Refutation uint64      `msgpack:"in,omitempty" json:"incarnation"`
	Suspects   []Suspicion `msgpack:"ac,omitempty" json:"accuses,omitempty"`
	// OpenRequests counts the requests that run or wait at the node's own backends, by zone;
	// it changes without Version.
	OpenRequests map[string]int64 `msgpack:"op,omitempty" json:"open,omitempty"`
	// Budgets are the node's own counts by contract; they change without Version.
	Budgets map[string]retrybudget.Counts `msgpack:"bu,omitempty" json:"budgets,omitempty"`
	// Sequence numbers the heartbeats of an incarnation, so that one that was overtaken on
	// the way replaces nothing newer. Older versions send zero.
	Sequence uint `msgpack:"t,omitempty" json:"-"`
}
