// Package causality ties a backend's outgoing calls to the requests that caused
// them, though backends pass nothing along. (DESIGN 2.5)
package causality

import (
	"time"

	"curlewwalk/internal/trace"
)

// Open is a request that a backend is working on.
type Open struct {
	Span     trace.Span
	Service  string
	Route    string
	Rank     int
	Since    time.Time
	Deadline time.Time
	// calls counts, by way, the outgoing calls surely tied to it.
	calls map[string]float64
	ended bool
}
