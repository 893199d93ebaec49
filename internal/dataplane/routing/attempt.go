package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// Outcome states whether a request, or one attempt of it, has run. It is sent to clients and
// between sidecars.
type Outcome string

const (
	// Answered means that the backend has sent a complete response.
	Answered Outcome = "answered"
	// NotRun means that the request provably has not run and never will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	Target  membership.Target
	Outcome Outcome
	// Reason is a human-readable explanation of why there is no response.
	Reason string
	// RetryAfter is the minimum time after which a rejected request should be resent.
	RetryAfter time.Duration
	// ReachedBackend means that the attempt was, or may have been, written to a backend, even if
	// the backend has not run it.
	ReachedBackend bool
	// DeadlineExceeded means that the attempt ended because the request's deadline had passed.
	DeadlineExceeded bool
	// LeaseExpired means that the target's sidecar admitted no requests because it could not
	// confirm that its configuration is the newest. (DESIGN 7.2)
	LeaseExpired bool
}
