// Package retrybudget keeps the two budgets that bound what a sidecar may spend on a
// request beyond its first attempt. (DESIGN 15)
//
// Budget bounds the retries to one service by the traffic to it, and ServiceBudgets shares
// an allowance beyond that among all sidecars, so that retries can't multiply an overload.
//
// LatencyBudgets count by contract how late requests were, here and on all nodes; what a
// contract has left of its objective allows a request to be planned to end past its latency
// target.
package retrybudget
