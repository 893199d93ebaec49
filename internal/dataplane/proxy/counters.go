package proxy

import (
	"sync/atomic"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// Counters are a side's running totals, for /v1/stats.
type Counters struct {
	// InFlight is how many are under way now.
	InFlight                                                   atomic.Int64
	Requests, Answered, NotRun, Unknown, ExtraAttempts, Joined atomic.Int64
	// ClientDisconnects counts the requests whose clients left before they were answered, and
	// AfterDisconnect sums up, in nanoseconds, for how long these went on all the same.
	ClientDisconnects, AfterDisconnect atomic.Int64
	// CancelledBeforeStart counts the attempts that a peer recalled before they were begun, Stopped the
	// runs that a recall stopped, and LeftRunning the recalled attempts that must not be
	// stopped, or are not known.
	CancelledBeforeStart, CancelledRunning, LeftRunning atomic.Int64
}

// clientDisconnected takes that a request's client left, and for how long the request went on.
func (c *Counters) clientDisconnected(after time.Duration) {
	c.ClientDisconnects.Add(1)
	c.AfterDisconnect.Add(int64(after))
}

// completed takes how one ended.
func (c *Counters) completed(f routing.Outcome) {
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
	InFlight          int64 `json:"open"`
	Requests          int64 `json:"inquiries"`
	Answered          int64 `json:"answered"`
	NotRun            int64 `json:"not_run"`
	Unknown           int64 `json:"unknown"`
	ExtraAttempts     int64 `json:"extra_legs"`
	Joined            int64 `json:"joined"`
	ClientDisconnects int64 `json:"clients_left"`
	// AfterDisconnect is how long requests went on after their clients had left, in all.
	AfterDisconnect      time.Duration `json:"after_leaving_ns"`
	CancelledBeforeStart int64         `json:"recalled"`
	CancelledRunning     int64         `json:"stopped"`
	LeftRunning          int64         `json:"left_running"`
}

// Snapshot takes a reading.
func (c *Counters) Snapshot() Totals {
	return Totals{
		InFlight: c.InFlight.Load(), Requests: c.Requests.Load(), Answered: c.Answered.Load(), NotRun: c.NotRun.Load(),
		Unknown: c.Unknown.Load(), ExtraAttempts: c.ExtraAttempts.Load(), Joined: c.Joined.Load(),
		ClientDisconnects: c.ClientDisconnects.Load(), AfterDisconnect: time.Duration(c.AfterDisconnect.Load()),
		CancelledBeforeStart: c.CancelledBeforeStart.Load(), CancelledRunning: c.CancelledRunning.Load(), LeftRunning: c.LeftRunning.Load(),
	}
}
