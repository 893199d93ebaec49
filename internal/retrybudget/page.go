package retrybudget

import "time"

// Page is a contract's budget as an operator reads it.
type Page struct {
	Contract string `json:"contract"`
	Rank     int    `json:"rank"`
	Aim      string `json:"aim"`
	Deadline string `json:"expiry"`
	Requests int64  `json:"inquiries"`
	Lateness string `json:"lateness"`
	Left     string `json:"left"`
	Kept     bool   `json:"kept"`
}

// Answer is what GET /v1/budgets shows; whole tells whether all nodes are in it.
type Answer struct {
	Whole   bool   `json:"whole"`
	Budgets []Page `json:"budgets"`
}

// NewPage writes a contract's page.
func NewPage(name string, rank int, aim, deadline time.Duration, t Tally) Page {
	left := t.Left(deadline - aim)
	return Page{
		Contract: name, Rank: rank, Aim: aim.String(), Deadline: deadline.String(), Requests: t.N, Lateness: t.Late.String(),
		Left: left.String(), Kept: left >= 0,
	}
}
