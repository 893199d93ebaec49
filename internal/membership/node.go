package membership

import "curlewwalk/internal/retrybudget"

// Node is one sidecar's soft state. Rev counts changes within a boot.
type Node struct {
	Addr            string    `msgpack:"a" json:"address"`
	Incarnation     uint64    `msgpack:"b" json:"boot"`
	Version         uint64    `msgpack:"r" json:"rev"`
	Zone            string    `msgpack:"l" json:"locality"`
	AppliedRevision uint64    `msgpack:"s,omitempty" json:"stamp"`
	Backends        []Backend `msgpack:"be,omitempty" json:"backends"`
	// Departed are the newest of the instances that have said that they leave.
	Departed []string `msgpack:"d,omitempty" json:"departed,omitempty"`
	// Refutation rises when the node refutes an accusation; Accuses lists whom it
	// accuses itself. Both change without Rev.
	Refutation uint64      `msgpack:"in,omitempty" json:"incarnation"`
	Suspects   []Suspicion `msgpack:"ac,omitempty" json:"accuses,omitempty"`
	// OpenRequests counts what runs and waits at own backends, by zone.
	OpenRequests map[string]int64 `msgpack:"op,omitempty" json:"open,omitempty"`
	// Budgets is the node's own tally by contract; it changes without Rev.
	Budgets map[string]retrybudget.Counts `msgpack:"bu,omitempty" json:"budgets,omitempty"`
	// Sequence numbers what the node tells within a boot, so that nothing overtaken is
	// taken for news; zero of an older version.
	Sequence uint `msgpack:"t,omitempty" json:"-"`
}
