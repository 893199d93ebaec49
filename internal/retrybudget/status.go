package retrybudget

import "time"

// BudgetStatus is a contract's budget as an operator reads it.
type BudgetStatus struct {
	Contract  string `json:"contract"`
	Priority  int    `json:"rank"`
	Target    string `json:"aim"`
	Deadline  string `json:"expiry"`
	Requests  int64  `json:"inquiries"`
	Lateness  string `json:"lateness"`
	Remaining string `json:"left"`
	Met       bool   `json:"kept"`
}

// BudgetList is what GET /v1/budgets shows; whole tells whether all nodes are in it.
type BudgetList struct {
	Complete bool           `json:"whole"`
	Budgets  []BudgetStatus `json:"budgets"`
}

// NewBudgetStatus writes a contract's page.
func NewBudgetStatus(name string, priority int, target, deadline time.Duration, t Counts) BudgetStatus {
	remaining := t.Remaining(deadline - target)
	return BudgetStatus{
		Contract: name, Priority: priority, Target: target.String(), Deadline: deadline.String(), Requests: t.Requests, Lateness: t.Lateness.String(),
		Remaining: remaining.String(), Met: remaining >= 0,
	}
}
