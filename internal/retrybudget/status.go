package retrybudget

import "time"

// BudgetStatus is the latency budget of a contract, as reported to operators. Durations are
// formatted as Go durations.
type BudgetStatus struct {
	Contract string `json:"contract"`
	Priority int    `json:"rank"`
	// Target and Deadline are the latency target and deadline of the contract.
	Target   string `json:"aim"`
	Deadline string `json:"expiry"`
	// Requests and Lateness are the counts over the rolling window. Remaining is the remaining
	// budget. Met reports whether the objective is met.
	Requests  int64  `json:"inquiries"`
	Lateness  string `json:"lateness"`
	Remaining string `json:"left"`
	Met       bool   `json:"kept"`
}

// BudgetList is the response to GET /v1/budgets.
type BudgetList struct {
	// Complete reports whether the counts include all nodes.
	Complete bool           `json:"whole"`
	Budgets  []BudgetStatus `json:"budgets"`
}

// NewBudgetStatus returns the status of a contract's budget.
func NewBudgetStatus(contract string, priority int, target, deadline time.Duration, counts Counts) BudgetStatus {
	remaining := counts.Remaining(deadline - target)
	return BudgetStatus{
		Contract: contract, Priority: priority, Target: target.String(), Deadline: deadline.String(),
		Requests: counts.Requests, Lateness: counts.Lateness.String(),
		Remaining: remaining.String(), Met: remaining >= 0,
	}
}
