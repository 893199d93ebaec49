package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// openAttempts is the set of attempts that are open on an inbound side. Cancellations look attempts
// up in it. Its zero value is empty, and it is safe for concurrent use.
type openAttempts struct {
	mu   sync.Mutex
	byID map[string]openAttempt
}

// openAttempt is one open attempt.
type openAttempt struct {
	idempotent bool
	// cancel ends the attempt's context.
	cancel context.CancelCauseFunc
}

// add adds an attempt to the set until remove is called. A second attempt with the same ID is not
// added, because it never begins.
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

// find returns the open attempt with the given ID.
func (o *openAttempts) find(id string) (attempt openAttempt, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt, ok = o.byID[id]
	return attempt, ok
}

// ids returns the IDs of the open attempts.
func (o *openAttempts) ids() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.byID))
}
