package retrybudget

import "time"

// LatenessObjective bounds the average lateness of a contract's requests, as a fraction of
// the maximum: the deadline less the latency target.
const LatenessObjective = 0.05 // (ours)

// Counts are those of a contract's requests over the rolling window.
type Counts struct {
	// Requests is the number of requests that ended.
	Requests int64 `msgpack:"n" json:"inquiries"`
	// Lateness is by how much they ended past their latency target, in total.
	Lateness time.Duration `msgpack:"l" json:"lateness"`
}

// Add returns the sum of two counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{Requests: c.Requests + other.Requests, Lateness: c.Lateness + other.Lateness}
}

// Remaining returns the lateness that is left until the objective is missed; below zero it
// is missed already. maxLateness is the contract's deadline less its latency target.
// (DESIGN 15.3)
func (c Counts) Remaining(maxLateness time.Duration) time.Duration {
	return time.Duration(LatenessObjective*float64(c.Requests)*float64(maxLateness)) - c.Lateness
}

// Merge adds up the counts of several nodes, by contract.
func Merge(nodes []map[string]Counts) map[string]Counts {
	totals := map[string]Counts{}
	for _, node := range nodes {
		for contract, counts := range node {
			totals[contract] = totals[contract].Add(counts)
		}
	}
	return totals
}
