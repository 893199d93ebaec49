package proxy

import (
	"net/http"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// Dialect is how HTTP messages say what concerns the proxy: it reads the requests of callers and
// the responses of backends, and writes what is sent to them. The project's own is
// DefaultDialect; an adapter brings another. A dialect decides nothing: what follows from what it
// has read is up to the proxy. (DESIGN 18.2)
type Dialect interface {
	// ParseRequest reads what a request says of itself. h is the header that goes to the backend:
	// ParseRequest takes out of it what only sidecars may set.
	ParseRequest(r *http.Request, h http.Header) RequestMetadata
	// SetBackendHeaders puts into h, the header of a request to a backend, what the backend has
	// to know of an attempt: its caller, the instance that is meant, the time remaining.
	SetBackendHeaders(h http.Header, attempt *Attempt, remaining time.Duration)
	// ClassifyResponse tells from the head of a backend's response what it means for an attempt.
	ClassifyResponse(attempt *Attempt, status int, h http.Header) ResponseClass
	// BuildReply makes the response of a request that a sidecar answers itself.
	BuildReply(reply LocalReply) Response
}

// RequestMetadata is what a request says of itself.
type RequestMetadata struct {
	// ClientTimeout is how long its client waits; zero if it does not say.
	ClientTimeout time.Duration
	// IdempotencyKey is the key under which it must run only once; empty if it has none.
	IdempotencyKey string
}

// ResponseClass is what a backend's response means for an attempt.
type ResponseClass int

const (
	// ResponseValid is the attempt's own response.
	ResponseValid ResponseClass = iota
	// ResponseDeclined says that the backend has not run the attempt and never will.
	ResponseDeclined
	// ResponseMisrouted says the same, as another instance has the address.
	ResponseMisrouted
	// ResponseMismatched is the response to another request.
	ResponseMismatched
	// ResponseForged claims a success that can't be that of this backend.
	ResponseForged
)

// LocalReply is what a sidecar answers itself.
type LocalReply struct {
	Status  int
	Outcome routing.Outcome
	Reason  string
	// TraceID is the request's trace; empty if it has none.
	TraceID string
	// RetryAfter is the least time after which to send the request again; zero if that makes no
	// sense.
	RetryAfter time.Duration
}

// DefaultDialect is the project's own dialect: Idempotency-Key on requests, Curlewwalk-Caller to
// backends, and local replies as JSON documents with Curlewwalk-Outcome.
type DefaultDialect struct{}

// ParseRequest implements Dialect.
func (DefaultDialect) ParseRequest(r *http.Request, h http.Header) RequestMetadata {
	h.Del(HeaderCaller)
	return RequestMetadata{IdempotencyKey: r.Header.Get(HeaderKey)}
}

// SetBackendHeaders implements Dialect.
func (DefaultDialect) SetBackendHeaders(h http.Header, attempt *Attempt, _ time.Duration) {
	if attempt.Caller != "" {
		h.Set(HeaderCaller, attempt.Caller)
	}
}

// ClassifyResponse implements Dialect.
func (DefaultDialect) ClassifyResponse(*Attempt, int, http.Header) ResponseClass {
	return ResponseValid
}

// BuildReply implements Dialect.
func (DefaultDialect) BuildReply(reply LocalReply) Response { return newLocalReply(reply) }
