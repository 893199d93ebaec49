package proxy

import (
	"net/http"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// Dialect defines how HTTP messages carry the information that the proxy needs. It parses the
// requests of callers and the responses of backends, and builds the messages sent to them.
// DefaultDialect is the project's own dialect. Adapters to platforms provide others, as package
// platform does. A dialect only parses and formats. The proxy makes all decisions. (DESIGN 18.2)
type Dialect interface {
	// ParseRequest reads the metadata of a request. h is the header or the trailer for the backend.
	// ParseRequest removes the fields from h that only sidecars may set.
	ParseRequest(r *http.Request, h http.Header) RequestMetadata
	// SetBackendHeaders adds to h, the header of a request to a backend, the information that the
	// backend needs about an attempt: its caller, the target instance and the remaining time.
	SetBackendHeaders(h http.Header, attempt *Attempt, remaining time.Duration)
	// ClassifyResponse returns the meaning of a backend's response for an attempt, derived from the
	// head of the response.
	ClassifyResponse(attempt *Attempt, status int, h http.Header) ResponseClass
	// BuildReply builds the response to a request that a sidecar answers itself.
	BuildReply(reply LocalReply) Response
}

// RequestMetadata holds the metadata that a request carries.
type RequestMetadata struct {
	// ClientTimeout is how long the client waits. It is zero if the client sent no timeout.
	ClientTimeout time.Duration
	// IdempotencyKey is the key under which the request must run only once. It is empty if the
	// request has none.
	IdempotencyKey string
}

// ResponseClass is the meaning of a backend's response for an attempt.
type ResponseClass int

const (
	// ResponseValid is the attempt's own response.
	ResponseValid ResponseClass = iota
	// ResponseDeclined means that the backend has not run the attempt and never will.
	ResponseDeclined
	// ResponseMisrouted means that another instance answered at the backend's address, so the
	// attempt has not run and never will.
	ResponseMisrouted
	// ResponseMismatched is the response to another request.
	ResponseMismatched
	// ResponseForged lacks the proof, which the dialect requires, that the backend sent it as the
	// attempt's response. It does not show whether the attempt has run.
	ResponseForged
)

// LocalReply describes a local reply, which is a response that a sidecar sends to the caller
// instead of a backend's response.
type LocalReply struct {
	Status  int
	Outcome routing.Outcome
	Reason  string
	// TraceID is the trace ID of the request. It is empty if the request has none.
	TraceID string
	// RetryAfter is the shortest time after which the client should retry. It is zero if a retry
	// would not help.
	RetryAfter time.Duration
}

// DefaultDialect is the project's own dialect. It reads Idempotency-Key from requests, sends
// Curlewwalk-Caller to backends, and formats local replies as JSON documents with a
// Curlewwalk-Outcome header.
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
