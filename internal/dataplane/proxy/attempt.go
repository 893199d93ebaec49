// Package proxy carries requests: the near side asks the decision object and
// obeys, the far side passes attempts through the gate to the backend. (DESIGN 4, 10)
package proxy

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// KindAttempt and KindCancel are kinds on the wire.
const (
	KindAttempt = "leg"
	KindCancel  = "recall"
)

// Attempt is one attempt of a request, as the near sidecar sends it.
type Attempt struct {
	// ID is unique to the attempt; the far sidecar never runs one twice.
	ID          string        `msgpack:"id"`
	Number      int           `msgpack:"n"`
	Service     string        `msgpack:"s"`
	Instance    string        `msgpack:"i"`
	Incarnation uint64        `msgpack:"bt"`
	Route       string        `msgpack:"w"`
	Priority    int           `msgpack:"rk"`
	Timeout     time.Duration `msgpack:"l"`
	// TimeToTarget is the time left until the request is late; it waits no longer.
	TimeToTarget time.Duration `msgpack:"am"`
	// QueuePastTarget says that it rather waits to be late than be refused.
	QueuePastTarget bool `msgpack:"pt,omitempty"`
	// Idempotent says that running it twice does no harm.
	Idempotent bool        `msgpack:"rp,omitempty"`
	Caller     string      `msgpack:"c,omitempty"`
	Method     string      `msgpack:"m"`
	URI        string      `msgpack:"u"`
	Host       string      `msgpack:"h"`
	Header     http.Header `msgpack:"hd"`
	// Trailer is what the client sent behind its body.
	Trailer http.Header `msgpack:"tr,omitempty"`
	Body    []byte      `msgpack:"b"`
}

// queueAllowance is the time left in which a late answer is still worth something.
func (a *Attempt) queueAllowance() time.Duration {
	if !a.QueuePastTarget {
		return 0
	}
	return a.Timeout
}

// valid tells whether a request can be made of the attempt that is that one request to every
// reader of it.
func (a *Attempt) valid() bool {
	for name := range a.Trailer {
		if isHopByHop(name) {
			return false
		}
	}
	return isToken(a.Method) && hasNoBlanks(a.URI) && hasNoBlanks(a.Host) && a.URI != "" && requestTargetURL("", a.URI).RequestURI() == a.URI
}

// isToken tells whether s is a token as RFC 9110 (5.6.2) has it.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// hasNoBlanks tells whether s has neither blanks nor control characters in it.
func hasNoBlanks(s string) bool {
	return !slices.ContainsFunc([]byte(s), func(b byte) bool { return b <= ' ' || b == 0x7f })
}

// AttemptResponse is what the far sidecar tells of an attempt.
type AttemptResponse struct {
	ID      string          `msgpack:"id"`
	Outcome routing.Outcome `msgpack:"f"`
	Reason  string          `msgpack:"r,omitempty"`
	Status  int             `msgpack:"s"`
	Header  http.Header     `msgpack:"h"`
	// Trailer is what the backend sent behind its body.
	Trailer http.Header `msgpack:"tr,omitempty"`
	Body    []byte      `msgpack:"b"`
	// ReachedBackend says that the attempt came to a backend, though it may not have run.
	ReachedBackend bool `msgpack:"rd,omitempty"`
	// InFlight is how many requests the backend has open.
	InFlight int `msgpack:"o"`
	// RetryAfter is when a refused request should come again.
	RetryAfter time.Duration `msgpack:"bk,omitempty"`
}

// answers tells whether the response is understood, and is that of an attempt.
func (r *AttemptResponse) answers(attempt *Attempt) bool {
	switch r.Outcome {
	case routing.Answered:
		return r.ID == attempt.ID && r.Status >= 200 && r.Status <= 999
	case routing.NotRun, routing.Unknown:
		return r.ID == attempt.ID
	}
	return false
}

// CancelRequest asks a far sidecar, in one incarnation of it, to let an attempt never run, or to
// stop it if that may be.
type CancelRequest struct {
	ID          string `msgpack:"id"`
	Incarnation uint64 `msgpack:"bt"`
}
