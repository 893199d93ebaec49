package proxy

import (
	"sync/atomic"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// Counters counts the requests of an outbound side, or the attempts of an inbound side, since the
// start of the process. The fields from ExtraAttempts to AfterDisconnect are used only by an
// outbound side, and the fields after them only by an inbound side.
type Counters struct {
	// InFlight is the number of requests or attempts that are open now.
	InFlight atomic.Int64
	// Requests counts all requests or attempts received. Answered, NotRun and Unknown count the
	// completed ones by outcome.
	Requests                  atomic.Int64
	Answered, NotRun, Unknown atomic.Int64
	// ExtraAttempts counts retries.
	ExtraAttempts atomic.Int64
	// Joined counts the requests that got the response of an earlier request with the same
	// idempotency key.
	Joined atomic.Int64
	// ClientDisconnects counts the requests without an idempotency key whose clients disconnected
	// before they were answered. AfterDisconnect is the total time, in nanoseconds, for which these
	// requests continued afterwards.
	ClientDisconnects, AfterDisconnect atomic.Int64
	// CanceledBeforeStart counts the attempts that were canceled before they began. CanceledRunning
	// counts the running attempts that were stopped. LeftRunning counts the cancellations that had
	// no effect, because the attempt had begun and was not idempotent, or was no longer open.
	CanceledBeforeStart, CanceledRunning, LeftRunning atomic.Int64
}

// clientDisconnected counts a request whose client disconnected, and the time for which the request
// continued afterwards.
func (c *Counters) clientDisconnected(after time.Duration) {
	c.ClientDisconnects.Add(1)
	c.AfterDisconnect.Add(int64(after))
}

// completed counts a completed request or attempt.
func (c *Counters) completed(outcome routing.Outcome) {
	switch outcome {
	case routing.Answered:
		c.Answered.Add(1)
	case routing.NotRun:
		c.NotRun.Add(1)
	default:
		c.Unknown.Add(1)
	}
}

// Totals is a snapshot of Counters for the API. The JSON names are part of the API.
type Totals struct {
	InFlight          int64 `json:"open"`
	Requests          int64 `json:"inquiries"`
	Answered          int64 `json:"answered"`
	NotRun            int64 `json:"not_run"`
	Unknown           int64 `json:"unknown"`
	ExtraAttempts     int64 `json:"extra_legs"`
	Joined            int64 `json:"joined"`
	ClientDisconnects int64 `json:"clients_left"`
	// AfterDisconnect is in nanoseconds.
	AfterDisconnect     time.Duration `json:"after_leaving_ns"`
	CanceledBeforeStart int64         `json:"recalled"`
	CanceledRunning     int64         `json:"stopped"`
	LeftRunning         int64         `json:"left_running"`
}

// Snapshot reads each counter. The values are not read atomically as a set.
func (c *Counters) Snapshot() Totals {
	return Totals{
		InFlight: c.InFlight.Load(), Requests: c.Requests.Load(), Answered: c.Answered.Load(), NotRun: c.NotRun.Load(),
		Unknown: c.Unknown.Load(), ExtraAttempts: c.ExtraAttempts.Load(), Joined: c.Joined.Load(),
		ClientDisconnects: c.ClientDisconnects.Load(), AfterDisconnect: time.Duration(c.AfterDisconnect.Load()),
		CanceledBeforeStart: c.CanceledBeforeStart.Load(), CanceledRunning: c.CanceledRunning.Load(), LeftRunning: c.LeftRunning.Load(),
	}
}
