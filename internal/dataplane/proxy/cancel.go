package proxy

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/transport"
)

// stoppingReason is the reason for rejecting or ending requests while this node is shutting down.
const stoppingReason = "this node is stopping"

// ErrStopping is the cancellation cause of the contexts of requests that are still open, and of
// attempts that have not begun, when the time for finishing them during a shutdown is over.
var ErrStopping = eris.New(stoppingReason)

// errCanceled is the cancellation cause of the context of an attempt that was canceled.
var errCanceled = eris.New("attempt canceled")

// errNotCancel is the reply to a call that is not a CancelRequest. Its text is part of the
// protocol.
var errNotCancel = errors.New("not a recall")

// HandleCancel handles a cancellation. It is the transport.Handler of KindCancel.
func (in *Inbound) HandleCancel(_ context.Context, request transport.Request) (any, error) {
	var cancel CancelRequest
	if !request.Decode(&cancel) {
		return nil, errNotCancel
	}
	// If the cancellation is for an earlier incarnation, that incarnation may have begun the attempt.
	response := AttemptResponse{ID: cancel.ID, Outcome: routing.Unknown, Reason: "it was begun, or begun before a restart"}
	if in.cancel(cancel.ID) && cancel.Incarnation == in.Incarnation {
		response.Outcome, response.Reason = routing.NotRun, "recalled before it was begun"
	}
	return response, nil
}

// cancel cancels an attempt whose reply is no longer needed. The attempt may not have arrived yet.
// An attempt that has not begun leaves the queue and never begins. An attempt that the backend is
// running is stopped if it is idempotent, and otherwise continues to its end. cancel reports
// whether the attempt had not begun. (DESIGN 10.7)
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

// RefuseWaiting refuses all open attempts that have not begun, so that their requests can be sent
// to other nodes. It is called when the time for finishing open requests during a shutdown is over.
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

// rejectionFor returns the rejection of an attempt whose context has ended. It also returns
// DeadlineExpired if the context has not ended; queueRejection relies on that.
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
