package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// Outcome is what is known of an attempt.
type Outcome string

// An attempt was answered, or proven not run, or nobody knows.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

// AttemptResult is one attempt and what came of it.
type AttemptResult struct {
	Target  membership.Target
	Outcome Outcome
	Reason  string
	// RetryAfter is when a refused request should come again.
	RetryAfter time.Duration
	// ReachedBackend says that it came to a backend, though it may not have run.
	ReachedBackend bool
	// DeadlineExceeded says that the attempt ended because the request's time was over.
	DeadlineExceeded bool
	// LeaseExpired says that the far sidecar was not sure of the newest word and so admitted
	// nothing. (DESIGN 7.2)
	LeaseExpired bool
}
