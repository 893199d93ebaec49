package wire

import (
	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/trace"
)

// Receipt is the outcome of a call, as a value.
type Receipt struct {
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

// Into reads the body of an answered receipt; false if there is none that fits.
func (r Receipt) Into(v any) bool {
	return r.Fate == Answered && r.Fault == "" && msgpack.Unmarshal(r.body, v) == nil
}
