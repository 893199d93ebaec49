package cohort

import "curlewwalk/contract"

// Node is one sidecar's soft state. Rev counts changes within a boot.
type Node struct {
	Addr     string    `msgpack:"a" json:"address"`
	Boot     uint64    `msgpack:"b" json:"boot"`
	Rev      uint64    `msgpack:"r" json:"rev"`
	Locality string    `msgpack:"l" json:"locality"`
	Stamp    uint64    `msgpack:"s" json:"stamp"`
	Backends []Backend `msgpack:"be" json:"backends"`
	// Budgets is the node's own tally by contract; it changes without Rev.
	Budgets map[string]contract.Tally `msgpack:"bu" json:"budgets,omitempty"`
}
