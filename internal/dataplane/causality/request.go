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
	// calls counts the outgoing calls linked to the request, by the route of the call.
	// Inferred calls are counted by their shares, once all their candidates have ended.
	calls map[string]float64
	ended bool
}

// Cause is the result of linking an outgoing call. If Parent is zero, the call was not linked
// to a request and starts a new trace.
type Cause struct {
	Parent trace.Span
	Link   trace.Link
	// Candidates holds the span IDs of all likely causes, starting with that of Parent.
	Candidates []trace.ID
	// Deadline is the latest deadline of the candidates, or zero if there are none.
	Deadline time.Time
	// Priority is the highest priority of the candidates. A lower number means a higher
	// priority.
	Priority int
}

// causeOf returns a cause with the request as its only candidate.
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
