package proxy

import (
	"context"
	"errors"
	"time"

	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/transport"
)

// cancelLost cancels an attempt whose reply was lost. The attempt is known not to have run only if
// the inbound side replies that it has not run and never will. Otherwise it may have run. After the
// request's deadline, cancelLost does not wait for the reply. At the end of a shutdown, it waits
// for shutdownCancelTimeout only. (DESIGN 10.2)
func (o *Outbound) cancelLost(ctx context.Context, attempt *outgoingAttempt) routing.AttemptResult {
	// ReachedBackend is set because the attempt may have been written to the backend.
	lost := routing.AttemptResult{Target: attempt.target, Outcome: routing.Unknown, Reason: "lost on the way", ReachedBackend: true}
	timeout := cancelTimeout
	switch {
	case ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), ErrStopping):
		ctx, timeout = context.WithoutCancel(ctx), shutdownCancelTimeout
	default:
		o.cancelAsync(ctx, attempt)
		return lost
	}
	if response, ok := o.sendCancel(ctx, attempt, timeout); ok && response.Outcome == routing.NotRun {
		return routing.AttemptResult{Target: attempt.target, Outcome: routing.NotRun, Reason: response.Reason}
	}
	return lost
}

// cancelAsync cancels an attempt without waiting for the reply.
func (o *Outbound) cancelAsync(ctx context.Context, attempt *outgoingAttempt) {
	o.Actors.Go(context.WithoutCancel(ctx), "cancel-attempt", func(ctx context.Context) { o.sendCancel(ctx, attempt, cancelTimeout) })
}

// sendCancel asks the inbound side to cancel an attempt, and returns its reply. ok is false if
// there is no valid reply within timeout.
func (o *Outbound) sendCancel(ctx context.Context, attempt *outgoingAttempt, timeout time.Duration) (response AttemptResponse, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := CancelRequest{ID: attempt.ID, Incarnation: attempt.Incarnation}
	ok = o.Transport.Call(ctx, attempt.target.Node, transport.ControlTraffic, KindCancel, request).Decode(&response)
	return response, ok && response.answers(&attempt.Attempt)
}
