package proxy

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/transport"
)

// ErrStopping ends the context of what is still open when a sidecar's time to stop is over.
var ErrStopping = eris.New("this node is stopping")

// errRecalled ends the context of an attempt that its sender wants no more.
var errRecalled = eris.New("the attempt was recalled")

// openAttempts are the attempts that are open at a far side, so that a recall finds them.
// It is a table that is looked at for a moment, and has a mutex.
type openAttempts struct {
	mu   sync.Mutex
	byID map[string]openAttempt
}

// openAttempt is one of them: end ends its context.
type openAttempt struct {
	repeatable bool
	end        context.CancelCauseFunc
}

// add takes an attempt until remove is called. A second one of the same ID is not taken: it
// never begins.
func (o *openAttempts) add(attempt *Attempt, end context.CancelCauseFunc) (remove func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byID == nil {
		o.byID = map[string]openAttempt{}
	}
	if _, known := o.byID[attempt.ID]; known {
		return func() {}
	}
	o.byID[attempt.ID] = openAttempt{attempt.Repeatable, end}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.byID, attempt.ID)
	}
}

// find finds an attempt that is open.
func (o *openAttempts) find(id string) (attempt openAttempt, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt, ok = o.byID[id]
	return attempt, ok
}

// ids lists those that are open.
func (o *openAttempts) ids() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.byID))
}

// recall ends an attempt that nobody waits for any more. One that was not begun never is,
// and leaves the line; a run at the backend is stopped if running it twice does no harm,
// else left to its end. It tells whether the attempt was not begun. (DESIGN 10.7)
func (f *Far) recall(id string) (notBegun bool) {
	notBegun = f.ledger.ask(context.Background(), f.ledger.refuse, id)
	attempt, open := f.open.find(id)
	switch {
	case notBegun:
		f.Counts.Recalled.Add(1)
	case open && attempt.repeatable:
		f.Counts.Stopped.Add(1)
	default:
		f.Counts.LeftRunning.Add(1)
		return false
	}
	if open {
		attempt.end(errRecalled)
	}
	return notBegun
}

// RefuseWaiting refuses all open attempts that were not begun, so that their senders may
// turn elsewhere: this sidecar is about to end.
func (f *Far) RefuseWaiting() {
	for _, id := range f.open.ids() {
		if !f.ledger.ask(context.Background(), f.ledger.refuse, id) {
			continue
		}
		if attempt, open := f.open.find(id); open {
			attempt.end(ErrStopping)
		}
	}
}

// Recall handles a recall.
func (f *Far) Recall(_ context.Context, in transport.Request) (any, string) {
	var q Recall
	if !in.Into(&q) {
		return nil, "not a recall"
	}
	rc := AttemptResponse{ID: q.ID, Fate: routing.Unknown, Reason: "it was begun, or begun before a restart"}
	if f.recall(q.ID) && q.Boot == f.Boot {
		rc.Fate, rc.Reason = routing.NotRun, "recalled before it was begun"
	}
	return rc, ""
}

// refusalOf tells why an attempt whose context has ended is not gone on with.
func refusalOf(ctx context.Context) endpoints.Rejection {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errRecalled):
		return endpoints.Canceled
	case errors.Is(cause, ErrStopping):
		return endpoints.NodeDraining
	}
	return endpoints.DeadlineExpired
}
