package transport

import (
	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// message is what a frame holds, after the trace prefix if there is one.
type message struct {
	// ID numbers the call on its connection; a response repeats it.
	ID   uint64             `msgpack:"i"`
	Kind string             `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
	// Fault is set on a response when the far node could not take the call.
	Fault string `msgpack:"f,omitempty"`
}

// encode builds a sealed frame. A zero span makes a plain message.
func encode(span trace.Span, msg message) ([]byte, error) {
	frame := make([]byte, headerLen, headerLen+64+len(msg.Body))
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

// decode reads a payload, traced or plain: one whole value that is a message, or nothing
// of it.
func decode(payload []byte) (span trace.Span, traced bool, msg message, err error) {
	span, plain, traced := trace.CutPrefix(payload)
	err = Unmarshal(plain, &msg)
	return span, traced, msg, err
}

// Unmarshal reads bytes that may be anything: one whole msgpack value that fits v, or an
// error.
func Unmarshal(b []byte, v any) error {
	if err := checkWellFormed(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}
