package proxy

import (
	"sync/atomic"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// Counts are a side's running totals, for /v1/stats.
type Counts struct {
	// Open is how many are under way now.
	Open                                                       atomic.Int64
	Requests, Answered, NotRun, Unknown, ExtraAttempts, Joined atomic.Int64
	// ClientsLeft counts the requests whose clients left before they were answered, and
	// AfterLeaving sums up, in nanoseconds, for how long these went on all the same.
	ClientsLeft, AfterLeaving atomic.Int64
	// Recalled counts the attempts that a peer recalled before they were begun, Stopped the
	// runs that a recall stopped, and LeftRunning the recalled attempts that must not be
	// stopped, or are not known.
	Recalled, Stopped, LeftRunning atomic.Int64
}

// left takes that a request's client left, and for how long the request went on.
func (c *Counts) left(after time.Duration) {
	c.ClientsLeft.Add(1)
	c.AfterLeaving.Add(int64(after))
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
	ClientsLeft   int64 `json:"clients_left"`
	// AfterLeaving is how long requests went on after their clients had left, in all.
	AfterLeaving time.Duration `json:"after_leaving_ns"`
	Recalled     int64         `json:"recalled"`
	Stopped      int64         `json:"stopped"`
	LeftRunning  int64         `json:"left_running"`
}

// Read takes a reading.
func (c *Counts) Read() Totals {
	return Totals{
		Open: c.Open.Load(), Requests: c.Requests.Load(), Answered: c.Answered.Load(), NotRun: c.NotRun.Load(),
		Unknown: c.Unknown.Load(), ExtraAttempts: c.ExtraAttempts.Load(), Joined: c.Joined.Load(),
		ClientsLeft: c.ClientsLeft.Load(), AfterLeaving: time.Duration(c.AfterLeaving.Load()),
		Recalled: c.Recalled.Load(), Stopped: c.Stopped.Load(), LeftRunning: c.LeftRunning.Load(),
	}
}
