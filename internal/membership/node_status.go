package membership

import "curlewwalk/internal/retrybudget"

// NodeStatus carries the fields of a Node that change without its Version. It replaces the Node in
// heartbeats to a control plane replica that has the Node in that incarnation and version. Each
// NodeStatus is complete, so the loss or late arrival of an earlier one does no harm. (DESIGN 7.1)
type NodeStatus struct {
	Addr        string `msgpack:"a"`
	Incarnation uint64 `msgpack:"b"`
	Version     uint64 `msgpack:"r"`
	Sequence    uint   `msgpack:"t"`

	AppliedRevision uint64      `msgpack:"s,omitempty"`
	Refutation      uint64      `msgpack:"in,omitempty"`
	Suspects        []Suspicion `msgpack:"ac,omitempty"`
	// OpenRequests contains only the zones that have an open request.
	OpenRequests map[string]int64 `msgpack:"op,omitempty"`
	// BudgetReport is included in some heartbeats only. nil leaves the receiver's counts unchanged.
	BudgetReport *BudgetReport `msgpack:"ta,omitempty"`
}

// BudgetReport holds a node's counts by contract. An empty report means that the node has none.
type BudgetReport struct {
	Budgets map[string]retrybudget.Counts `msgpack:"b,omitempty"`
}

// Status returns the fields of n that change without Version. includeBudgets specifies whether the
// counts by contract are included.
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

// WithStatus returns n updated with a status of the same incarnation and version.
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
