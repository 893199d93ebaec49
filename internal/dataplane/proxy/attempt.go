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

// KindAttempt and KindRecall are kinds on the wire.
const (
	KindAttempt = "leg"
	KindRecall  = "recall"
)

// Attempt is one attempt of a request, as the near sidecar sends it.
type Attempt struct {
	// ID is unique to the attempt; the far sidecar never runs one twice.
	ID       string        `msgpack:"id"`
	N        int           `msgpack:"n"`
	Service  string        `msgpack:"s"`
	Instance string        `msgpack:"i"`
	Boot     uint64        `msgpack:"bt"`
	Route    string        `msgpack:"w"`
	Rank     int           `msgpack:"rk"`
	Left     time.Duration `msgpack:"l"`
	// Aim is the time left until the request is late; it waits no longer.
	Aim time.Duration `msgpack:"am"`
	// Patient says that it rather waits to be late than be refused.
	Patient bool `msgpack:"pt,omitempty"`
	// Repeatable says that running it twice does no harm.
	Repeatable bool        `msgpack:"rp,omitempty"`
	Caller     string      `msgpack:"c,omitempty"`
	Method     string      `msgpack:"m"`
	URI        string      `msgpack:"u"`
	Host       string      `msgpack:"h"`
	Header     http.Header `msgpack:"hd"`
	// Trailer is what the client sent behind its body.
	Trailer http.Header `msgpack:"tr,omitempty"`
	Body    []byte      `msgpack:"b"`
}

// late is the time left in which a late answer is still worth something.
func (l *Attempt) late() time.Duration {
	if !l.Patient {
		return 0
	}
	return l.Left
}

// valid tells whether a request can be made of the attempt that is that one request to every
// reader of it.
func (l *Attempt) valid() bool {
	for name := range l.Trailer {
		if isHopByHop(name) {
			return false
		}
	}
	return isToken(l.Method) && isOneWord(l.URI) && isOneWord(l.Host) && l.URI != "" && target("", l.URI).RequestURI() == l.URI
}

// isToken tells whether s is a token as RFC 9110 (5.6.2) has it.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// isOneWord tells whether s has neither blanks nor control characters in it.
func isOneWord(s string) bool {
	return !slices.ContainsFunc([]byte(s), func(b byte) bool { return b <= ' ' || b == 0x7f })
}

// AttemptResponse is what the far sidecar tells of an attempt.
type AttemptResponse struct {
	ID     string       `msgpack:"id"`
	Fate   routing.Fate `msgpack:"f"`
	Reason string       `msgpack:"r,omitempty"`
	Status int          `msgpack:"s"`
	Header http.Header  `msgpack:"h"`
	// Trailer is what the backend sent behind its body.
	Trailer http.Header `msgpack:"tr,omitempty"`
	Body    []byte      `msgpack:"b"`
	// Reached says that the attempt came to a backend, though it may not have run.
	Reached bool `msgpack:"rd,omitempty"`
	// Open is how many requests the backend has open.
	Open int `msgpack:"o"`
	// Back is when a refused request should come again.
	Back time.Duration `msgpack:"bk,omitempty"`
}

// of tells whether the response is understood, and is that of an attempt.
func (r *AttemptResponse) of(attempt *Attempt) bool {
	switch r.Fate {
	case routing.Answered:
		return r.ID == attempt.ID && r.Status >= 200 && r.Status <= 999
	case routing.NotRun, routing.Unknown:
		return r.ID == attempt.ID
	}
	return false
}

// Recall asks a far sidecar, in one incarnation of it, to let an attempt never run, or to
// stop it if that may be.
type Recall struct {
	ID   string `msgpack:"id"`
	Boot uint64 `msgpack:"bt"`
}
