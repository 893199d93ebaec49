package lineage

import (
	"time"

	"curlewwalk/trace"
)

// Cause is what an outgoing call was tied to. A zero Parent means a new root.
type Cause struct {
	Parent     trace.Span
	Link       trace.Link
	Candidates []trace.ID
	// Expiry is the tightest among the candidates; zero if there are none.
	Expiry time.Time
}
