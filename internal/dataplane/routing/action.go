package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// ActionKind is what the proxy must do next for a request.
type ActionKind int

const (
	// Respond ends the request with the response of its last attempt.
	Respond ActionKind = iota
	// Send sends an attempt to Target.
	Send
	// Wait asks the decision again after the time Wait.
	Wait
	// Fail ends the request without a backend's response, as Failure says.
	Fail
)

// Action is the next step of a request.
type Action struct {
	Kind ActionKind
	// Target is where an attempt is to be sent.
	Target membership.Target
	// QueuePastTarget says that the attempt may be queued at its backend beyond the request's
	// latency target, rather than be rejected.
	QueuePastTarget bool
	// Wait is how long to wait before the decision is asked again.
	Wait time.Duration
	// Failure tells how a failed request is answered; its zero value is that of all other
	// actions.
	Failure Failure
}

// Failure is how a request ends without a response of its backend.
type Failure struct {
	// Status is the HTTP status.
	Status int
	// Outcome reports whether the request may have run.
	Outcome Outcome
	// Reason tells people why it ended.
	Reason string
	// RetryAfter is the least time after which the client should send it again; zero if that
	// makes no sense.
	RetryAfter time.Duration
}
