package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// Outcome is what is known of a request, or of one attempt of it. It is sent to clients and
// between sidecars.
type Outcome string

const (
	// Answered means that there is a complete response of the backend.
	Answered Outcome = "answered"
	// NotRun means that it is proven not to have run, and never will.
	NotRun Outcome = "not-run"
	// Unknown means that it may have run.
	Unknown Outcome = "unknown"
)

// AttemptResult is what became of one attempt.
type AttemptResult struct {
	Target  membership.Target
	Outcome Outcome
	// Reason tells people why there is no response.
	Reason string
	// RetryAfter is the least time after which a rejected request should be sent again.
	RetryAfter time.Duration
	// ReachedBackend says that the attempt was written to a backend, or may have been, even if
	// the backend has not run it.
	ReachedBackend bool
	// DeadlineExceeded says that the attempt ended because the request's deadline had passed.
	DeadlineExceeded bool
	// LeaseExpired says that the target's sidecar admitted nothing, as it could not confirm
	// that its configuration is the newest. (DESIGN 7.2)
	LeaseExpired bool
}
