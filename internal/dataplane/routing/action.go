package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// ActionKind is the kind of step that the proxy takes next for a request.
type ActionKind int

const (
	// Respond ends the request with the response to its last attempt.
	Respond ActionKind = iota
	// Send sends an attempt to Target.
	Send
	// Wait sends nothing. The proxy calls Next again after Action.Wait has elapsed.
	Wait
	// Fail ends the request without a backend response, as described by Failure.
	Fail
)

// Action is the next step of a request.
type Action struct {
	Kind ActionKind
	// Target is the backend to which Send sends the attempt.
	Target membership.Target
	// QueuePastTarget allows the backend's sidecar to queue the attempt beyond the request's
	// latency target instead of rejecting it.
	QueuePastTarget bool
	// Wait is the delay before Next is called again.
	Wait time.Duration
	// Failure describes the response to a failed request. It is the zero value unless Kind is Fail.
	Failure Failure
}

// Failure describes how a request ends without a backend response.
type Failure struct {
	// Status is the HTTP status.
	Status int
	// Outcome reports whether the request may have run.
	Outcome Outcome
	// Reason is a human-readable explanation of the failure.
	Reason string
	// RetryAfter is the minimum time after which the client should resend the request. It is zero
	// if resending is of no use.
	RetryAfter time.Duration
}
