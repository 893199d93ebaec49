package proxy

import (
	"context"
	"errors"

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

// errCanceled is the cause with which the context of an attempt ends that was canceled.
var errCanceled = eris.New("the attempt was canceled")

// errNotCancel answers a call that is not a CancelRequest. Its text is part of the protocol.
var errNotCancel = errors.New("not a recall")

// HandleCancel handles a cancellation: it is the transport.Handler of KindCancel.
func (in *Inbound) HandleCancel(_ context.Context, request transport.Request) (any, error) {
	var cancel CancelRequest
	if !request.Decode(&cancel) {
		return nil, errNotCancel
	}
	response := AttemptResponse{ID: cancel.ID, Outcome: routing.Unknown, Reason: "it was begun, or begun before a restart"}
	if in.cancel(cancel.ID) && cancel.Incarnation == in.Incarnation {
		response.Outcome, response.Reason = routing.NotRun, "recalled before it was begun"
	}
	return response, nil
}

// cancel ends an attempt that nobody waits for any more, also one that has not arrived yet. One
// that was not begun never is, and leaves the queue; one that the backend is running is stopped if
// it is idempotent, else left to its end. It reports whether the attempt was not begun. (DESIGN 10.7)
func (in *Inbound) cancel(id string) (notBegun bool) {
	notBegun = in.attemptLog.refuse(context.Background(), id)
	attempt, open := in.openAttempts.find(id)
	switch {
	case notBegun:
		in.Counters.CanceledBeforeStart.Add(1)
	case open && attempt.idempotent:
		in.Counters.CanceledRunning.Add(1)
	default:
		in.Counters.LeftRunning.Add(1)
		return false
	}
	if open {
		attempt.cancel(errCanceled)
	}
	return notBegun
}

// RefuseWaiting refuses all open attempts that were not begun, so that their requests can be
// sent elsewhere: this node's time to stop is nearly over.
func (in *Inbound) RefuseWaiting() {
	for _, id := range in.openAttempts.ids() {
		if !in.attemptLog.refuse(context.Background(), id) {
			continue
		}
		if attempt, open := in.openAttempts.find(id); open {
			attempt.cancel(ErrStopping)
		}
	}
}

// rejectionFor tells why an attempt whose context has ended does not go on. Of a context that has
// not ended, the result is DeadlineExpired, too.
func rejectionFor(ctx context.Context) endpoints.Rejection {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errCanceled):
		return endpoints.Canceled
	case errors.Is(cause, ErrStopping):
		return endpoints.NodeDraining
	}
	return endpoints.DeadlineExpired
}
