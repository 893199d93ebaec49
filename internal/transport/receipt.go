package transport

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// Response is the outcome of a call, as a value.
type Response struct {
	Fate  Fate
	Fault string
	// Refused is set when the far machine actively refused the connection: no
	// process listens there.
	Refused bool
	// Span is what the far node told of the trace, if it answered traced.
	Span   trace.Span
	Traced bool
	body   msgpack.RawMessage
}

// faultKind begins the fault of a call of a kind that nobody answers there.
const faultKind = "unknown kind "

// UnknownKind tells whether the far node is of a version without that kind of call.
func (r Response) UnknownKind() bool { return strings.HasPrefix(r.Fault, faultKind) }

// Into reads the body of an answered response; false if there is none that fits.
func (r Response) Into(v any) bool {
	return r.Fate == Answered && r.Fault == "" && msgpack.Unmarshal(r.body, v) == nil
}
