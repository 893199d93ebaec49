package transport

import (
	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// message is a call, a response or a ping.
type message struct {
	// ID numbers the call on its connection; its response repeats it. Pings have none.
	ID uint64 `msgpack:"i"`
	// Kind is the kind of the call; its response repeats it.
	Kind string             `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
	// Fault is set on a response when the call was not taken.
	Fault string `msgpack:"f,omitempty"`
}

// envelope is a message with the span that was sent with it.
type envelope struct {
	message message
	// span is the sender's, if traced is set.
	span   trace.Span
	traced bool
	// frameSize is the length of the frame in bytes.
	frameSize int
}

// messageSizeHint is what a message takes beside its body, about. In bytes.
const messageSizeHint = 64

// encode builds a sealed frame. A zero span makes one without a trace prefix.
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

// encodePing builds the frame of a ping, which is the same in both directions.
func encodePing() []byte {
	frame, err := encode(trace.Span{}, message{Kind: KindPing})
	if err != nil {
		panic(err) // a message without a body can be encoded
	}
	return frame
}

// decode reads the payload of a frame, with or without a trace prefix. They must be one
// whole message.
func decode(b []byte) (envelope, error) {
	span, rest, traced := trace.CutPrefix(b)
	e := envelope{span: span, traced: traced, frameSize: headerLen + len(b)}
	err := Unmarshal(rest, &e.message)
	return e, err
}

// Unmarshal decodes bytes from an untrusted source: exactly one msgpack value that fits v,
// or an error.
func Unmarshal(b []byte, v any) error {
	if err := checkWellFormed(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}
