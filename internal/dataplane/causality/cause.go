package causality

import (
	"time"

	"curlewwalk/internal/trace"
)

// Cause is what an outgoing call was tied to. A zero Parent means a new root.
type Cause struct {
	Parent     trace.Span
	Link       trace.Link
	Candidates []trace.ID
	// Deadline is the latest among the candidates, so that a wrong link fails no call
	// that has time left; zero if there are none. Rank is the highest among them.
	Deadline time.Time
	Priority int
}
