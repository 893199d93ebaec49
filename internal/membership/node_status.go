package membership

import "curlewwalk/internal/retrybudget"

// NodeStatus carries the fields of a Node that change without its Version. It is sent in
// place of the Node to a control plane replica that has the node in that incarnation and
// version. Each one is complete, so it does not matter if an earlier one was lost or arrives
// later. (DESIGN 7.1)
type NodeStatus struct {
	Addr        string `msgpack:"a"`
	Incarnation uint64 `msgpack:"b"`
	Version     uint64 `msgpack:"r"`
	Sequence    uint   `msgpack:"t"`

	AppliedRevision uint64      `msgpack:"s,omitempty"`
	Refutation      uint64      `msgpack:"in,omitempty"`
	Suspects        []Suspicion `msgpack:"ac,omitempty"`
	// OpenRequests has only the zones in which any request is open.
	OpenRequests map[string]int64 `msgpack:"op,omitempty"`
	// BudgetReport is sent in some heartbeats only; nil leaves the counts as they were.
	BudgetReport *BudgetReport `msgpack:"ta,omitempty"`
}

// BudgetReport holds a node's counts by contract. An empty one says that it has none.
type BudgetReport struct {
	Budgets map[string]retrybudget.Counts `msgpack:"b,omitempty"`
}

// Status returns the part of n that changes without Version; the counts by contract are
// included on demand.
func (n Node) Status(includeBudgets bool) NodeStatus {
	status := NodeStatus{
		Addr:            n.Addr,
		Incarnation:     n.Incarnation,
		Version:         n.Version,
		Sequence:        n.Sequence,
		AppliedRevision: n.AppliedRevision,
		Refutation:      n.Refutation,
		Suspects:        n.Suspects,
	}
	for zone, open := range n.OpenRequests {
		if open == 0 {
			continue
		}
		if status.OpenRequests == nil {
			status.OpenRequests = map[string]int64{}
		}
		status.OpenRequests[zone] = open
	}
	if includeBudgets {
		status.BudgetReport = &BudgetReport{Budgets: n.Budgets}
	}
	return status
}

// WithStatus returns n with a status of the same incarnation and version applied.
func (n Node) WithStatus(status NodeStatus) Node {
	n.Sequence = status.Sequence
	n.AppliedRevision = status.AppliedRevision
	n.Refutation = status.Refutation
	n.Suspects = status.Suspects
	n.OpenRequests = status.OpenRequests
	if status.BudgetReport != nil {
		n.Budgets = status.BudgetReport.Budgets
	}
	return n
}
