package proxy

import (
	"fmt"
	"net/http"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// transientRetryAfter is the Retry-After time for rejections caused by a transient state of this
// node.
const transientRetryAfter = time.Second

// The rejections of requests. Each has a status, an outcome, a reason and the time after which the
// client may retry. Of all rejections in this file, only those of requests under an idempotency key
// can have an outcome other than NotRun, because an earlier request of the same key may have run.
// The reasons are sent to clients and must not be changed. They call a route a way, a request an
// inquiry, and the reservation of a key a claim.
var (
	rejectTooManyBodies      = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "this node holds as many bodies as it can", RetryAfter: transientRetryAfter}
	rejectBodyTimeout        = &routing.Failure{Status: http.StatusRequestTimeout, Outcome: routing.NotRun, Reason: "body took too long", RetryAfter: transientRetryAfter}
	rejectBodyIncomplete     = &routing.Failure{Status: http.StatusBadRequest, Outcome: routing.NotRun, Reason: "body was cut short"}
	rejectTargetNotPreserved = &routing.Failure{Status: http.StatusBadRequest, Outcome: routing.NotRun, Reason: "this path can't be passed on as it is"}
	rejectNoConfiguration    = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "no configuration is known here yet", RetryAfter: transientRetryAfter}
	rejectRouteUnconfirmed   = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "no way is known here, but a newer configuration may be in force", RetryAfter: transientRetryAfter}
	rejectNoRoute            = &routing.Failure{Status: http.StatusNotFound, Outcome: routing.NotRun, Reason: "no way takes this inquiry"}
)

// The rejections of requests under an idempotency key.
var (
	rejectKeyTooLong       = &routing.Failure{Status: http.StatusBadRequest, Outcome: routing.NotRun, Reason: fmt.Sprintf("%s is over %d bytes", HeaderKey, maxKeyLength)}
	rejectKeysNotRecovered = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.Unknown, Reason: "claims on keys are still being handed over to this node", RetryAfter: transientRetryAfter}
	rejectTooManyKeys      = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "too many keys are claimed", RetryAfter: transientRetryAfter}
	rejectKeyReused        = &routing.Failure{Status: http.StatusUnprocessableEntity, Outcome: routing.NotRun, Reason: "this key was used for another inquiry"}
	rejectKeyNotReplicated = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "the claim on this key could not be entrusted to other nodes", RetryAfter: transientRetryAfter}
	rejectFirstStillOpen   = &routing.Failure{Status: http.StatusGatewayTimeout, Outcome: routing.Unknown, Reason: "expired while the first inquiry of this key was running", RetryAfter: transientRetryAfter}
	rejectResponseEvicted  = &routing.Failure{Status: http.StatusBadGateway, Outcome: routing.Unknown, Reason: "the first inquiry of this key has ended; its answer is kept no longer", RetryAfter: transientRetryAfter}
	rejectResponseLost     = &routing.Failure{Status: http.StatusBadGateway, Outcome: routing.Unknown, Reason: "this node was restarted before the first inquiry of this key was answered", RetryAfter: transientRetryAfter}
)

// nodeStopping returns the rejection of a request because this node is shutting down.
func nodeStopping(retryAfter time.Duration) *routing.Failure {
	return &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: stoppingReason, RetryAfter: retryAfter}
}

// configurationOutdated returns the rejection of a request because this node's configuration must
// not be used.
func configurationOutdated(retryAfter time.Duration) *routing.Failure {
	return &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "a newer configuration is in force, and not known here yet", RetryAfter: retryAfter}
}

// bodyTooLarge returns the rejection of a request whose body is larger than maxBody bytes.
func bodyTooLarge(maxBody int64) *routing.Failure {
	return &routing.Failure{Status: http.StatusRequestEntityTooLarge, Outcome: routing.NotRun, Reason: fmt.Sprintf("body is over %d bytes", maxBody)}
}

// reject returns the response to a rejected request that has no span yet.
func (o *Outbound) reject(f *routing.Failure) Response { return o.localReply(f, "") }

// failRequest returns the response to a failed request that has a span. The response includes the
// trace ID.
func (o *Outbound) failRequest(req *request, f *routing.Failure) Response {
	return o.localReply(f, req.span.Trace.String())
}

// localReply builds the response to a request that has no backend response, in the dialect of the
// callers.
func (o *Outbound) localReply(f *routing.Failure, traceID string) Response {
	return o.Dialect.BuildReply(LocalReply{Status: f.Status, Outcome: f.Outcome, Reason: f.Reason, TraceID: traceID, RetryAfter: f.RetryAfter})
}
