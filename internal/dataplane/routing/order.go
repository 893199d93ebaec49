package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// Order is what the executor must do next: send an attempt, wait and ask again, or end the
// request.
type Order struct {
	Send   bool
	Target membership.Target
	// Patient says that the attempt rather waits to be late than be refused.
	Patient bool
	Wait    time.Duration
	// End, when Send is false and Wait zero.
	End End
}

// End is how a request ends without a whole answer of its backend. A zero
// Status means that the last attempt's answer is passed on.
type End struct {
	Status     int
	Fate       Fate
	Reason     string
	RetryAfter time.Duration
}
