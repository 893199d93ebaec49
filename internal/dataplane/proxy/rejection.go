package proxy

import (
	"fmt"
	"net/http"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// briefly is when a client should send again what a passing state of this node has rejected.
const briefly = time.Second

// The rejections of requests, as values: with which status, whether the request may have run
// (only a request under an idempotency key may, as an earlier one of the same key), why, and
// after which time to send it again. Their texts go to clients. They must not be changed.
var (
	rejectTooManyBodies    = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "this node holds as many bodies as it can", RetryAfter: briefly}
	rejectBodyTimeout      = &routing.Failure{Status: http.StatusRequestTimeout, Outcome: routing.NotRun, Reason: "body took too long", RetryAfter: briefly}
	rejectBodyCutShort     = &routing.Failure{Status: http.StatusBadRequest, Outcome: routing.NotRun, Reason: "body was cut short"}
	rejectPathNotFaithful  = &routing.Failure{Status: http.StatusBadRequest, Outcome: routing.NotRun, Reason: "this path can't be passed on as it is"}
	rejectNoConfiguration  = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "no configuration is known here yet", RetryAfter: briefly}
	rejectRouteUnconfirmed = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "no way is known here, but a newer configuration may be in force", RetryAfter: briefly}
	rejectNoRoute          = &routing.Failure{Status: http.StatusNotFound, Outcome: routing.NotRun, Reason: "no way takes this inquiry"}
)

// The rejections of requests under an idempotency key.
var (
	rejectKeyTooLong       = &routing.Failure{Status: http.StatusBadRequest, Outcome: routing.NotRun, Reason: fmt.Sprintf("%s is over %d bytes", HeaderKey, maxKeyLength)}
	rejectKeysNotRecovered = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.Unknown, Reason: "claims on keys are still being handed over to this node", RetryAfter: briefly}
	rejectTooManyKeys      = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "too many keys are claimed", RetryAfter: briefly}
	rejectKeyReused        = &routing.Failure{Status: http.StatusUnprocessableEntity, Outcome: routing.NotRun, Reason: "this key was used for another inquiry"}
	rejectKeyNotReplicated = &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "the claim on this key could not be entrusted to other nodes", RetryAfter: briefly}
	rejectFirstStillOpen   = &routing.Failure{Status: http.StatusGatewayTimeout, Outcome: routing.Unknown, Reason: "expired while the first inquiry of this key was running", RetryAfter: briefly}
	rejectResponseEvicted  = &routing.Failure{Status: http.StatusBadGateway, Outcome: routing.Unknown, Reason: "the first inquiry of this key has ended; its answer is kept no longer", RetryAfter: briefly}
	rejectResponseLost     = &routing.Failure{Status: http.StatusBadGateway, Outcome: routing.Unknown, Reason: "this node was restarted before the first inquiry of this key was answered", RetryAfter: briefly}
)

// nodeStopping rejects a request as this node is being stopped.
func nodeStopping(retryAfter time.Duration) *routing.Failure {
	return &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: stoppingReason, RetryAfter: retryAfter}
}

// configurationOutdated rejects a request as this node's configuration must not be used.
func configurationOutdated(retryAfter time.Duration) *routing.Failure {
	return &routing.Failure{Status: http.StatusServiceUnavailable, Outcome: routing.NotRun, Reason: "a newer configuration is in force, and not known here yet", RetryAfter: retryAfter}
}

// bodyTooLarge rejects a request whose body is larger than this node takes.
func bodyTooLarge(maxBody int64) *routing.Failure {
	return &routing.Failure{Status: http.StatusRequestEntityTooLarge, Outcome: routing.NotRun, Reason: fmt.Sprintf("body is over %d bytes", maxBody)}
}

// reject answers a request that has no span yet.
func (o *Outbound) reject(f *routing.Failure) Response { return o.localReply(f, "") }

// failRequest answers a request that has a span: the client is told its trace.
func (o *Outbound) failRequest(req *request, f *routing.Failure) Response {
	return o.localReply(f, req.span.Trace.String())
}

// localReply builds the response of a request that has none of a backend, in the callers'
// dialect.
func (o *Outbound) localReply(f *routing.Failure, traceID string) Response {
	return o.Dialect.BuildReply(LocalReply{Status: f.Status, Outcome: f.Outcome, Reason: f.Reason, TraceID: traceID, RetryAfter: f.RetryAfter})
}
