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

// stoppingReason is why requests are rejected or ended while this node is being stopped.
const stoppingReason = "this node is stopping"

// ErrStopping is the cause with which the contexts of requests and attempts end that are still
// open when the time for the shutdown is over.
var ErrStopping = eris.New(stoppingReason)

// errCancelled ends the context of an attempt that its sender wants no more.
var errCancelled = eris.New("the attempt was recalled")

// openAttempts are the attempts that are open at a far side, so that a recall finds them.
// It is a table that is looked at for a moment, and has a mutex.
type openAttempts struct {
	mu   sync.Mutex
	byID map[string]openAttempt
}

// openAttempt is one of them: end ends its context.
type openAttempt struct {
	idempotent bool
	cancel     context.CancelCauseFunc
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
	o.byID[attempt.ID] = openAttempt{attempt.Idempotent, end}
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

// cancel ends an attempt that nobody waits for any more. One that was not begun never is,
// and leaves the line; a run at the backend is stopped if running it twice does no harm,
// else left to its end. It tells whether the attempt was not begun. (DESIGN 10.7)
func (f *Inbound) cancel(id string) (notBegun bool) {
	notBegun = f.attemptLog.query(context.Background(), f.attemptLog.refusals, id)
	attempt, open := f.openAttempts.find(id)
	switch {
	case notBegun:
		f.Counters.CancelledBeforeStart.Add(1)
	case open && attempt.idempotent:
		f.Counters.CancelledRunning.Add(1)
	default:
		f.Counters.LeftRunning.Add(1)
		return false
	}
	if open {
		attempt.cancel(errCancelled)
	}
	return notBegun
}

// RefuseWaiting refuses all open attempts that were not begun, so that their senders may
// turn elsewhere: this sidecar is about to end.
func (f *Inbound) RefuseWaiting() {
	for _, id := range f.openAttempts.ids() {
		if !f.attemptLog.query(context.Background(), f.attemptLog.refusals, id) {
			continue
		}
		if attempt, open := f.openAttempts.find(id); open {
			attempt.cancel(ErrStopping)
		}
	}
}

// HandleCancel handles a recall.
func (f *Inbound) HandleCancel(_ context.Context, request transport.Request) (any, string) {
	var q CancelRequest
	if !request.Decode(&q) {
		return nil, "not a recall"
	}
	response := AttemptResponse{ID: q.ID, Outcome: routing.Unknown, Reason: "it was begun, or begun before a restart"}
	if f.cancel(q.ID) && q.Incarnation == f.Incarnation {
		response.Outcome, response.Reason = routing.NotRun, "recalled before it was begun"
	}
	return response, ""
}

// refusalFor tells why an attempt whose context has ended is not gone on with.
func refusalFor(ctx context.Context) endpoints.Rejection {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errCancelled):
		return endpoints.Canceled
	case errors.Is(cause, ErrStopping):
		return endpoints.NodeDraining
	}
	return endpoints.DeadlineExpired
}
