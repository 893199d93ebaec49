package retrybudget

import "time"

// LatenessObjective bounds the average lateness of a contract's requests, as a fraction of the
// maximum lateness. The maximum lateness is the deadline minus the latency target.
const LatenessObjective = 0.05

// Counts are the totals of a contract's requests over the rolling window.
type Counts struct {
	// Requests is the number of requests that have ended, whether or not they were answered.
	Requests int64 `msgpack:"n" json:"inquiries"`
	// Lateness is the total time by which the requests exceeded their latency target.
	Lateness time.Duration `msgpack:"l" json:"lateness"`
}

// Add returns the sum of two counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{Requests: c.Requests + other.Requests, Lateness: c.Lateness + other.Lateness}
}

// Remaining returns the lateness that is left before the objective is missed. It is negative if the
// objective is already missed. maxLateness is the contract's deadline minus its latency target.
// (DESIGN 15.3)
func (c Counts) Remaining(maxLateness time.Duration) time.Duration {
	return time.Duration(LatenessObjective*float64(c.Requests)*float64(maxLateness)) - c.Lateness
}

// Merge returns the sums of the counts of several nodes, by contract.
func Merge(nodes []map[string]Counts) map[string]Counts {
	totals := map[string]Counts{}
	for _, node := range nodes {
		for contract, counts := range node {
			totals[contract] = totals[contract].Add(counts)
		}
	}
	return totals
}
