package membership

import "curlewwalk/internal/retrybudget"

// NodeStatus is what changes of a node without Rev, told to a core that has the node in
// that boot and revision. It is whole each time, so what was lost or overtaken
// before it does not matter. (DESIGN 7.1)
type NodeStatus struct {
	Addr        string `msgpack:"a"`
	Incarnation uint64 `msgpack:"b"`
	Version     uint64 `msgpack:"r"`
	Sequence    uint   `msgpack:"t"`

	AppliedRevision uint64      `msgpack:"s,omitempty"`
	Refutation      uint64      `msgpack:"in,omitempty"`
	Suspects        []Suspicion `msgpack:"ac,omitempty"`
	// OpenRequests has the zones where anything is open.
	OpenRequests map[string]int64 `msgpack:"op,omitempty"`
	// BudgetReport are told more rarely; none is no news.
	BudgetReport *BudgetReport `msgpack:"ta,omitempty"`
}

// BudgetReport are a node's own, by contract; without any, it has none.
type BudgetReport struct {
	Budgets map[string]retrybudget.Counts `msgpack:"b,omitempty"`
}

// Status is the node's; with its tallies if they are due.
func (n Node) Status(includeBudgets bool) NodeStatus {
	status := NodeStatus{Addr: n.Addr, Incarnation: n.Incarnation, Version: n.Version, Sequence: n.Sequence, AppliedRevision: n.AppliedRevision, Refutation: n.Refutation, Suspects: n.Suspects}
	for zone, open := range n.OpenRequests {
		if open != 0 {
			if status.OpenRequests == nil {
				status.OpenRequests = map[string]int64{}
			}
			status.OpenRequests[zone] = open
		}
	}
	if includeBudgets {
		status.BudgetReport = &BudgetReport{Budgets: n.Budgets}
	}
	return status
}

// WithStatus takes a pulse of the same boot and revision.
func (n Node) WithStatus(status NodeStatus) Node {
	n.Sequence, n.AppliedRevision, n.Refutation, n.Suspects, n.OpenRequests = status.Sequence, status.AppliedRevision, status.Refutation, status.Suspects, status.OpenRequests
	if status.BudgetReport != nil {
		n.Budgets = status.BudgetReport.Budgets
	}
	return n
}
