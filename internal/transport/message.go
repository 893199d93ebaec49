package transport

import (
	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// message is a call, a response or a ping.
type message struct {
	// ID identifies the call on its connection. The response has the same ID. Pings have none.
	ID uint64 `msgpack:"i"`
	// Kind is the kind of the call. The response has the same kind.
	Kind string             `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
	// ErrorText is set on the response to a rejected call: the text of the error.
	ErrorText string `msgpack:"f,omitempty"`
}

// envelope is a received message and its trace span.
type envelope struct {
	message message
	// span is the sender's span. It is valid only if traced is set.
	span   trace.Span
	traced bool
	// frameSize is the length of the frame in bytes, including the header.
	frameSize int
}

// messageSizeHint is the approximate length of a message without its body, in bytes.
const messageSizeHint = 64

// encode returns the complete frame of a message. If span is zero, the frame has no trace
// prefix.
func encode(span trace.Span, msg message) ([]byte, error) {
	frame := make([]byte, headerLen, headerLen+messageSizeHint+len(msg.Body))
	if !span.IsZero() {
		frame = trace.AppendPrefix(frame, span)
	}
	encoded, err := msgpack.Marshal(&msg)
	if err != nil {
		return nil, err
	}
	frame = append(frame, encoded...)
	if len(frame)-headerLen > MaxFrameSize {
		return nil, errFrameTooLong
	}
	return sealFrame(frame), nil
}

// encodePing returns the frame of a ping. It is the same in both directions.
func encodePing() []byte {
	frame, err := encode(trace.Span{}, message{Kind: KindPing})
	if err != nil {
		panic(err) // encoding a message without a body cannot fail
	}
	return frame
}

// decode decodes the payload of a frame, with or without a trace prefix. It fails unless the
// rest of the payload is exactly one message.
func decode(b []byte) (envelope, error) {
	span, rest, traced := trace.CutPrefix(b)
	e := envelope{span: span, traced: traced, frameSize: headerLen + len(b)}
	err := Unmarshal(rest, &e.message)
	return e, err
}

// Unmarshal decodes bytes from an untrusted source into v. It fails unless b is exactly one
// well-formed msgpack value that fits the type of v.
func Unmarshal(b []byte, v any) error {
	if err := checkWellFormed(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}
