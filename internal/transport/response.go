package transport

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// Response is the outcome of a call.
type Response struct {
	Delivery Delivery
	// Fault says why the call was not taken: by the peer if it answered, else by this side.
	Fault string
	// ConnectionRefused is set when the peer's machine refused the connection: no process
	// listens there.
	ConnectionRefused bool
	// Span is the peer's, if Traced is set.
	Span trace.Span
	// Traced reports whether the peer answered with a span.
	Traced bool
	body   msgpack.RawMessage
}

// notDelivered is the outcome of a call that was not sent, or not as a whole.
func notDelivered(fault string) Response {
	return Response{Delivery: NotDelivered, Fault: fault}
}

// unknownKindPrefix begins the fault of a call of a kind that the peer does not answer. It
// is part of the protocol.
const unknownKindPrefix = "unknown kind "

// UnknownKind reports whether the peer is of a version without that kind of call.
func (r Response) UnknownKind() bool { return strings.HasPrefix(r.Fault, unknownKindPrefix) }

// FaultIs reports whether the peer answered with the text of an error.
func (r Response) FaultIs(err error) bool { return r.Fault == err.Error() }

// Decode reads the body of an answer into v; false if there is none that fits.
func (r Response) Decode(v any) bool {
	return r.Delivery == Answered && r.Fault == "" && msgpack.Unmarshal(r.body, v) == nil
}
