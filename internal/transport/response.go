package transport

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// Response is the outcome of a call, as a value.
type Response struct {
	Delivery Delivery
	Fault    string
	// ConnectionRefused is set when the far machine actively refused the connection: no
	// process listens there.
	ConnectionRefused bool
	// Span is what the far node told of the trace, if it answered traced.
	Span   trace.Span
	Traced bool
	body   msgpack.RawMessage
}

// unknownKindPrefix begins the fault of a call of a kind that nobody answers there.
const unknownKindPrefix = "unknown kind "

// UnknownKind tells whether the far node is of a version without that kind of call.
func (r Response) UnknownKind() bool { return strings.HasPrefix(r.Fault, unknownKindPrefix) }

// Decode reads the body of an answered response; false if there is none that fits.
func (r Response) Decode(v any) bool {
	return r.Delivery == Answered && r.Fault == "" && msgpack.Unmarshal(r.body, v) == nil
}
