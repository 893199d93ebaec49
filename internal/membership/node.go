package membership

import "curlewwalk/internal/retrybudget"

// Node is one sidecar's soft state. Rev counts changes within a boot.
type Node struct {
	Addr     string    `msgpack:"a" json:"address"`
	Boot     uint64    `msgpack:"b" json:"boot"`
	Rev      uint64    `msgpack:"r" json:"rev"`
	Zone     string    `msgpack:"l" json:"locality"`
	Stamp    uint64    `msgpack:"s,omitempty" json:"stamp"`
	Backends []Backend `msgpack:"be,omitempty" json:"backends"`
	// Departed are the newest of the instances that have said that they leave.
	Departed []string `msgpack:"d,omitempty" json:"departed,omitempty"`
	// Inc rises when the node refutes an accusation; Accuses lists whom it
	// accuses itself. Both change without Rev.
	Inc     uint64       `msgpack:"in,omitempty" json:"incarnation"`
	Accuses []Accusation `msgpack:"ac,omitempty" json:"accuses,omitempty"`
	// Open counts what runs and waits at own backends, by zone.
	Open map[string]int64 `msgpack:"op,omitempty" json:"open,omitempty"`
	// Budgets is the node's own tally by contract; it changes without Rev.
	Budgets map[string]retrybudget.Tally `msgpack:"bu,omitempty" json:"budgets,omitempty"`
	// Turn numbers what the node tells within a boot, so that nothing overtaken is
	// taken for news; zero of an older version.
	Turn uint `msgpack:"t,omitempty" json:"-"`
}
