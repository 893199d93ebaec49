package transport

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// Response is the outcome of a call.
type Response struct {
	Delivery Delivery
	// ErrorText is the reason why the call was rejected, by the peer if Delivery is Answered and
	// by this side otherwise. It is empty for a call that succeeded, and may be empty for a call
	// that was not answered.
	ErrorText string
	// ConnectionRefused is set if the peer's host refused the connection: no process listens
	// on the address.
	ConnectionRefused bool
	// Span is the peer's span. It is valid only if Traced is set.
	Span trace.Span
	// Traced is set if the peer's response has a span.
	Traced bool
	body   msgpack.RawMessage
}

// notDelivered returns the response for a call that was not sent, or not sent completely.
func notDelivered(errorText string) Response {
	return Response{Delivery: NotDelivered, ErrorText: errorText}
}

// unknownKindPrefix is the prefix of ErrorText in the response to a call for whose kind the peer
// has no handler. It is part of the protocol.
const unknownKindPrefix = "unknown kind "

// UnknownKind reports whether the peer has no handler for the kind of the call, because it
// runs another version.
func (r Response) UnknownKind() bool { return strings.HasPrefix(r.ErrorText, unknownKindPrefix) }

// HasErrorText reports whether ErrorText is the text of err.
func (r Response) HasErrorText(err error) bool { return r.ErrorText == err.Error() }

// Decode decodes the body of a successful response into v. It reports whether there is such a
// body and it fits the type of v. The body is known to be well-formed, because it was checked as a
// part of its message.
func (r Response) Decode(v any) bool {
	return r.Delivery == Answered && r.ErrorText == "" && msgpack.Unmarshal(r.body, v) == nil
}
