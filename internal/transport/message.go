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
func encode(s trace.Span, m message) ([]byte, error) {
	b := make([]byte, headLen, headLen+64+len(m.Body))
	if !s.IsZero() {
		b = trace.AppendPrefix(b, s)
	}
	raw, err := msgpack.Marshal(&m)
	if err != nil {
		return nil, err
	}
	b = append(b, raw...)
	if len(b)-headLen > MaxFrame {
		return nil, errLong
	}
	return sealFrame(b), nil
}

// decode reads a payload, traced or plain: one whole value that is a message, or nothing
// of it.
func decode(payload []byte) (s trace.Span, traced bool, m message, err error) {
	s, plain, traced := trace.CutPrefix(payload)
	err = Unpack(plain, &m)
	return s, traced, m, err
}

// Unpack reads bytes that may be anything: one whole msgpack value that fits v, or an
// error.
func Unpack(b []byte, v any) error {
	if err := wellFormed(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}
