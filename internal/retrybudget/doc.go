// Package retrybudget keeps the two budgets that bound the resources a sidecar may spend on a
// request beyond its first attempt. (DESIGN 15)
//
// Budget bounds the retries to one service in proportion to the traffic to it. ServiceBudgets
// shares an additional allowance among all sidecars. Together they prevent retries from multiplying
// an overload.
//
// LatencyBudgets counts the lateness of the requests of each contract, on this node and on all
// nodes. The remainder of a contract's objective determines by how much a request may be planned to
// exceed its latency target.
package retrybudget
