package routing

import (
	"time"

	"curlewwalk/internal/membership"
)

// Fate is what is known of an attempt.
type Fate string

// An attempt was answered, or proven not run, or nobody knows.
const (
	Answered Fate = "answered"
	NotRun   Fate = "not-run"
	Unknown  Fate = "unknown"
)

// Attempt is one attempt and what came of it.
type Attempt struct {
	Target membership.Target
	Fate   Fate
	Reason string
	// Back is when a refused request should come again.
	Back time.Duration
	// Reached says that it came to a backend, though it may not have run.
	Reached bool
	// Expired says that the attempt ended because the request's time was over.
	Expired bool
	// Lapsed says that the far sidecar was not sure of the newest word and so admitted
	// nothing. (DESIGN 7.2)
	Lapsed bool
}
