package relay

import (
	"sync/atomic"

	"curlewwalk/routing"
)

// Counts are a side's running totals, for /v1/stats.
type Counts struct {
	// Open is how many are under way now.
	Open                                                       atomic.Int64
	Requests, Answered, NotRun, Unknown, ExtraAttempts, Joined atomic.Int64
}

// ended takes how one ended.
func (c *Counts) ended(f routing.Fate) {
	switch f {
	case routing.Answered:
		c.Answered.Add(1)
	case routing.NotRun:
		c.NotRun.Add(1)
	default:
		c.Unknown.Add(1)
	}
}

// Totals is a reading of Counts.
type Totals struct {
	Open          int64 `json:"open"`
	Requests      int64 `json:"inquiries"`
	Answered      int64 `json:"answered"`
	NotRun        int64 `json:"not_run"`
	Unknown       int64 `json:"unknown"`
	ExtraAttempts int64 `json:"extra_legs"`
	Joined        int64 `json:"joined"`
}

// Read takes a reading.
func (c *Counts) Read() Totals {
	return Totals{
		Open: c.Open.Load(), Requests: c.Requests.Load(), Answered: c.Answered.Load(), NotRun: c.NotRun.Load(),
		Unknown: c.Unknown.Load(), ExtraAttempts: c.ExtraAttempts.Load(), Joined: c.Joined.Load(),
	}
}
