package proxy

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
)

// The kinds of messages from an outbound side to an inbound side. The protocol calls an attempt a
// leg and a cancellation a recall. The values here and the msgpack tags below are part of the
// protocol.
const (
	// KindAttempt carries an Attempt. The reply is an AttemptResponse.
	KindAttempt = "leg"
	// KindCancel carries a CancelRequest. The reply is an AttemptResponse.
	KindCancel = "recall"
)

// Attempt is the message that the outbound side sends for one attempt of a request.
type Attempt struct {
	// ID is unique to the attempt. The inbound side never runs two attempts with the same ID.
	ID string `msgpack:"id"`
	// Number is the number of the attempt within its request, starting at 1.
	Number   int    `msgpack:"n"`
	Service  string `msgpack:"s"`
	Instance string `msgpack:"i"`
	// Incarnation identifies the run of the inbound side's process that the attempt is for. Each
	// start of the process draws a random number.
	Incarnation uint64 `msgpack:"bt"`
	Route       string `msgpack:"w"`
	// Priority is the request's priority. Lower numbers are admitted first. 1 is the highest
	// priority.
	Priority int `msgpack:"rk"`
	// Timeout is the time left until the request's deadline, less responseMargin.
	Timeout time.Duration `msgpack:"l"`
	// TimeToTarget is the time left until the request's latency target, plus the lateness that the
	// latency budget of its contract allows, less responseMargin. The attempt waits in the queue for
	// at most this time, unless QueuePastTarget is set.
	TimeToTarget time.Duration `msgpack:"am"`
	// QueuePastTarget reports whether the attempt may wait in the queue beyond TimeToTarget instead
	// of being rejected.
	QueuePastTarget bool `msgpack:"pt,omitempty"`
	// Idempotent reports whether the request may safely run twice.
	Idempotent bool `msgpack:"rp,omitempty"`
	// Caller is the service that sent the request, or OutboundConfig.LocalService if the sender is
	// unknown. It is empty for a client.
	Caller string `msgpack:"c,omitempty"`
	Method string `msgpack:"m"`
	// URI is the request target as sent by the caller.
	URI    string      `msgpack:"u"`
	Host   string      `msgpack:"h"`
	Header http.Header `msgpack:"hd"`
	// Trailer is the trailer that the caller sent after the body.
	Trailer http.Header `msgpack:"tr,omitempty"`
	Body    []byte      `msgpack:"b"`
}

// queueRequest returns the request for a place in the backend's admission queue.
func (a *Attempt) queueRequest() endpoints.QueueRequest {
	request := endpoints.QueueRequest{Priority: a.Priority, Route: a.Route, Remaining: min(a.Timeout, a.TimeToTarget)}
	if a.QueuePastTarget {
		request.LateRemaining = a.Timeout
	}
	return request
}

// valid reports whether the attempt encodes exactly one HTTP request, which every parser reads in
// the same way.
func (a *Attempt) valid() bool {
	for name := range a.Trailer {
		if isHopByHop(name) {
			return false
		}
	}
	return isToken(a.Method) && hasNoSpaceOrControl(a.URI) && hasNoSpaceOrControl(a.Host) && a.URI != "" && isPreservedTarget(a.URI)
}

// isToken reports whether s is a token as defined in RFC 9110 (5.6.2).
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// hasNoSpaceOrControl reports whether s contains neither spaces nor control characters.
func hasNoSpaceOrControl(s string) bool {
	return !slices.ContainsFunc([]byte(s), func(b byte) bool { return b <= ' ' || b == 0x7f })
}

// AttemptResponse is the inbound side's reply to an attempt or to a cancellation.
type AttemptResponse struct {
	// ID is the ID of the attempt.
	ID      string          `msgpack:"id"`
	Outcome routing.Outcome `msgpack:"f"`
	// Reason is the reason why there is no backend response.
	Reason string `msgpack:"r,omitempty"`
	// Status, Header, Trailer and Body are the backend's response.
	Status  int         `msgpack:"s"`
	Header  http.Header `msgpack:"h"`
	Trailer http.Header `msgpack:"tr,omitempty"`
	Body    []byte      `msgpack:"b"`
	// ReachedBackend reports whether the attempt was written to the backend, even if the backend
	// has not run it.
	ReachedBackend bool `msgpack:"rd,omitempty"`
	// InFlight is the number of requests that the backend is running or has in its queue.
	InFlight int `msgpack:"o"`
	// RetryAfter is the shortest time after which a rejected request should be retried.
	RetryAfter time.Duration `msgpack:"bk,omitempty"`
}

// answers reports whether the reply is valid and belongs to the given attempt.
func (r *AttemptResponse) answers(attempt *Attempt) bool {
	switch r.Outcome {
	case routing.Answered:
		return r.ID == attempt.ID && r.Status >= 200 && r.Status <= 999
	case routing.NotRun, routing.Unknown:
		return r.ID == attempt.ID
	}
	return false
}

// CancelRequest asks an inbound side, in one incarnation of its process, to ensure that an attempt
// never runs, or to stop it if it is idempotent. The reply reports whether the attempt may have
// run.
type CancelRequest struct {
	ID          string `msgpack:"id"`
	Incarnation uint64 `msgpack:"bt"`
}
