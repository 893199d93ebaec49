// Package causality ties a backend's outgoing calls to the requests that caused
// them, though backends pass nothing along. (DESIGN 2.5)
package causality

import (
	"time"

	"curlewwalk/internal/trace"
)

// OpenRequest is a request that a backend is working on.
type OpenRequest struct {
	Span      trace.Span
	Service   string
	Route     string
	Priority  int
	StartedAt time.Time
	Deadline  time.Time
	// calls counts, by way, the outgoing calls surely tied to it.
	calls map[string]float64
	ended bool
}
