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
	// Hear reads what a request says of itself. h is its header on the way to the
	// backend: what only sidecars may set is taken out of it.
	Hear(r *http.Request, h http.Header) Said
	// Address puts into h, the header of a request to a backend, what the backend is
	// told of an attempt: its caller, the instance meant, the time left.
	Address(h http.Header, attempt *Attempt, left time.Duration)
	// Judge reads what the header of a backend's answer says of an attempt.
	Judge(attempt *Attempt, status int, h http.Header) Judgement
	// Word words an answer of our own.
	Word(o Own) Response
}

// Said is what a request says of itself.
type Said struct {
	// Left is how long its client will wait; zero if it does not say.
	Left time.Duration
	// Key is the key under which it must run once only, if it has one.
	Key string
}

// Judgement is what a backend's answer means for its attempt.
type Judgement int

// The judgements.
const (
	// Fair is the attempt's own answer.
	Fair Judgement = iota
	// Declined says that the backend has not run the attempt and never will.
	Declined
	// Elsewhere says so too: another instance has the address.
	Elsewhere
	// Stray is the answer to another request.
	Stray
	// False claims a success that can't be this backend's.
	False
)

// Own is an answer of our own, before it is worded.
type Own struct {
	Status int
	Fate   routing.Fate
	Reason string
	// Trace is the trace's id, if there is one.
	Trace string
	// Back is when to come again; zero: it makes no sense.
	Back time.Duration
}

// Plain is the project's own dialect.
type Plain struct{}

// Hear implements Dialect.
func (Plain) Hear(r *http.Request, h http.Header) Said {
	h.Del(HeaderCaller)
	return Said{Key: r.Header.Get(HeaderKey)}
}

// Address implements Dialect.
func (Plain) Address(h http.Header, attempt *Attempt, _ time.Duration) {
	if attempt.Caller != "" {
		h.Set(HeaderCaller, attempt.Caller)
	}
}

// Judge implements Dialect.
func (Plain) Judge(*Attempt, int, http.Header) Judgement { return Fair }

// Word implements Dialect.
func (Plain) Word(o Own) Response { return ownResponse(o.Status, o.Fate, o.Reason, o.Trace, o.Back) }
