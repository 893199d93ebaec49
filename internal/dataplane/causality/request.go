package causality

import (
	"time"

	"curlewwalk/internal/trace"
)

// OpenRequest is a request that a backend is processing.
type OpenRequest struct {
	Span      trace.Span
	Service   string
	Route     string
	Priority  int
	StartedAt time.Time
	Deadline  time.Time
	// calls are the numbers of outgoing calls that were linked to the request, by their
	// route; inferred ones count by their shares, once all candidates have ended.
	calls map[string]float64
	ended bool
}

// Cause is what an outgoing call was linked to. A zero Parent means that nothing was, and
// the call begins a trace.
type Cause struct {
	Parent trace.Span
	Link   trace.Link
	// Candidates are the spans of all likely causes, that of Parent first.
	Candidates []trace.ID
	// Deadline is the latest among the candidates; zero if there are none.
	Deadline time.Time
	// Priority is the highest among the candidates, which is the lowest number.
	Priority int
}

// causeOf returns the cause that is the request alone.
func causeOf(request *OpenRequest, link trace.Link) Cause {
	return Cause{
		Parent: request.Span, Link: link, Candidates: []trace.ID{request.Span.ID},
		Deadline: request.Deadline, Priority: request.Priority,
	}
}

// addCandidate adds another request that may be the cause.
func (c *Cause) addCandidate(request *OpenRequest) {
	c.Candidates = append(c.Candidates, request.Span.ID)
	if request.Deadline.After(c.Deadline) {
		c.Deadline = request.Deadline
	}
	c.Priority = min(c.Priority, request.Priority)
}
