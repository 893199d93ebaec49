package proxy

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
)

// The kinds of messages from an outbound to an inbound side.
const (
	// KindAttempt carries an Attempt; the reply is an AttemptResponse.
	KindAttempt = "leg"
	// KindCancel carries a CancelRequest; the reply is an AttemptResponse.
	KindCancel = "recall"
)

// Attempt is one attempt of a request, as the outbound side sends it.
type Attempt struct {
	// ID is unique to the attempt; the inbound side never runs one twice.
	ID string `msgpack:"id"`
	// Number counts the attempts of a request from 1.
	Number   int    `msgpack:"n"`
	Service  string `msgpack:"s"`
	Instance string `msgpack:"i"`
	// Incarnation is that of the inbound side's process for which the attempt is meant.
	Incarnation uint64 `msgpack:"bt"`
	Route       string `msgpack:"w"`
	// Priority is the request's; the lowest number is admitted first.
	Priority int `msgpack:"rk"`
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration `msgpack:"l"`
	// TimeToTarget is the time left until the request's latency target, with the lateness that
	// its contract's budget allows; the attempt is queued no longer than that.
	TimeToTarget time.Duration `msgpack:"am"`
	// QueuePastTarget says that it may be queued beyond TimeToTarget, rather than be rejected.
	QueuePastTarget bool `msgpack:"pt,omitempty"`
	// Idempotent says that running it twice does no harm.
	Idempotent bool `msgpack:"rp,omitempty"`
	// Caller is the service that sent the request; empty for a client.
	Caller string `msgpack:"c,omitempty"`
	Method string `msgpack:"m"`
	// URI is the request target as the caller sent it.
	URI    string      `msgpack:"u"`
	Host   string      `msgpack:"h"`
	Header http.Header `msgpack:"hd"`
	// Trailer is what the caller sent behind the body.
	Trailer http.Header `msgpack:"tr,omitempty"`
	Body    []byte      `msgpack:"b"`
}

// queueRequest returns the attempt's request to its backend's admission queue.
func (a *Attempt) queueRequest() endpoints.QueueRequest {
	request := endpoints.QueueRequest{Priority: a.Priority, Route: a.Route, Remaining: min(a.Timeout, a.TimeToTarget)}
	if a.QueuePastTarget {
		request.LateRemaining = a.Timeout
	}
	return request
}

// valid reports whether the attempt makes one HTTP request, and the same one to every reader of
// it.
func (a *Attempt) valid() bool {
	for name := range a.Trailer {
		if isHopByHop(name) {
			return false
		}
	}
	return isToken(a.Method) && hasNoBlanks(a.URI) && hasNoBlanks(a.Host) && a.URI != "" && isFaithfulTarget(a.URI)
}

// isToken reports whether s is a token as RFC 9110 (5.6.2) defines it.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// hasNoBlanks reports whether s has neither blanks nor control characters in it.
func hasNoBlanks(s string) bool {
	return !slices.ContainsFunc([]byte(s), func(b byte) bool { return b <= ' ' || b == 0x7f })
}

// AttemptResponse is the inbound side's reply: what became of an attempt.
type AttemptResponse struct {
	// ID is the attempt's.
	ID      string          `msgpack:"id"`
	Outcome routing.Outcome `msgpack:"f"`
	// Reason tells why there is no response of the backend.
	Reason string `msgpack:"r,omitempty"`
	// Status, Header, Trailer and Body are the backend's response.
	Status  int         `msgpack:"s"`
	Header  http.Header `msgpack:"h"`
	Trailer http.Header `msgpack:"tr,omitempty"`
	Body    []byte      `msgpack:"b"`
	// ReachedBackend says that the attempt was written to the backend, even if the backend has
	// not run it.
	ReachedBackend bool `msgpack:"rd,omitempty"`
	// InFlight is how many requests the backend runs or has in its queue.
	InFlight int `msgpack:"o"`
	// RetryAfter is the least time after which a rejected request should be sent again.
	RetryAfter time.Duration `msgpack:"bk,omitempty"`
}

// answers reports whether the reply is understood, and is that to the given attempt.
func (r *AttemptResponse) answers(attempt *Attempt) bool {
	switch r.Outcome {
	case routing.Answered:
		return r.ID == attempt.ID && r.Status >= 200 && r.Status <= 999
	case routing.NotRun, routing.Unknown:
		return r.ID == attempt.ID
	}
	return false
}

// CancelRequest asks an inbound side, in one incarnation of its process, that an attempt never
// runs, or is stopped if it is idempotent. The reply reports whether it has run.
type CancelRequest struct {
	ID          string `msgpack:"id"`
	Incarnation uint64 `msgpack:"bt"`
}
