package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// Action is what the executor must do next: send an attempt, wait and ask again, or end the
// request.
type Action struct {
	Send   bool
	Target membership.Target
	// QueuePastTarget says that the attempt rather waits to be late than be refused.
	QueuePastTarget bool
	Wait            time.Duration
	// Failure, when Send is false and Wait zero.
	Failure Failure
}

// Failure is how a request ends without a whole answer of its backend. A zero
// Status means that the last attempt's answer is passed on.
type Failure struct {
	Status     int
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
}
