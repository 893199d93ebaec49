package proxy

import (
	"net/http"
	"time"

	"curlewwalk/internal/dataplane/routing"
)

// Dialect is how the callers and backends of a sidecar word what they say. The
// project's own is Plain; an adapter brings another. It only words: what is done is
// decided by those who ask it. (DESIGN 18.2)
type Dialect interface {
	// ParseRequest reads what a request says of itself. h is its header on the way to the
	// backend: what only sidecars may set is taken out of it.
	ParseRequest(r *http.Request, h http.Header) RequestMetadata
	// SetBackendHeaders puts into h, the header of a request to a backend, what the backend is
	// told of an attempt: its caller, the instance meant, the time left.
	SetBackendHeaders(h http.Header, attempt *Attempt, left time.Duration)
	// ClassifyResponse reads what the header of a backend's answer says of an attempt.
	ClassifyResponse(attempt *Attempt, status int, h http.Header) ResponseClass
	// BuildReply words an answer of our own.
	BuildReply(o LocalReply) Response
}

// RequestMetadata is what a request says of itself.
type RequestMetadata struct {
	// ClientTimeout is how long its client will wait; zero if it does not say.
	ClientTimeout time.Duration
	// IdempotencyKey is the key under which it must run once only, if it has one.
	IdempotencyKey string
}

// ResponseClass is what a backend's answer means for its attempt.
type ResponseClass int

// The judgements.
const (
	// ResponseValid is the attempt's own answer.
	ResponseValid ResponseClass = iota
	// ResponseDeclined says that the backend has not run the attempt and never will.
	ResponseDeclined
	// ResponseMisrouted says so too: another instance has the address.
	ResponseMisrouted
	// ResponseMismatched is the answer to another request.
	ResponseMismatched
	// ResponseForged claims a success that can't be this backend's.
	ResponseForged
)

// LocalReply is an answer of our own, before it is worded.
type LocalReply struct {
	Status  int
	Outcome routing.Outcome
	Reason  string
	// TraceID is the trace's id, if there is one.
	TraceID string
	// RetryAfter is when to come again; zero: it makes no sense.
	RetryAfter time.Duration
}

// DefaultDialect is the project's own dialect.
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
func (DefaultDialect) BuildReply(o LocalReply) Response {
	return newLocalReply(o.Status, o.Outcome, o.Reason, o.TraceID, o.RetryAfter)
}
