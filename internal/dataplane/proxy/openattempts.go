package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// openAttempts are the attempts that are open at an inbound side, so that a cancellation finds
// them. Its zero value is empty; it is safe for concurrent use.
type openAttempts struct {
	mu   sync.Mutex
	byID map[string]openAttempt
}

// openAttempt is one of them.
type openAttempt struct {
	idempotent bool
	// cancel ends its context.
	cancel context.CancelCauseFunc
}

// add adds an attempt until remove is called. A second one of the same ID is not added: it never
// begins.
func (o *openAttempts) add(attempt *Attempt, cancel context.CancelCauseFunc) (remove func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byID == nil {
		o.byID = map[string]openAttempt{}
	}
	if _, known := o.byID[attempt.ID]; known {
		return func() {}
	}
	o.byID[attempt.ID] = openAttempt{attempt.Idempotent, cancel}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.byID, attempt.ID)
	}
}

// find returns an open attempt.
func (o *openAttempts) find(id string) (attempt openAttempt, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt, ok = o.byID[id]
	return attempt, ok
}

// ids lists the open attempts.
func (o *openAttempts) ids() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.byID))
}
