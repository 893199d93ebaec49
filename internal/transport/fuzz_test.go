package transport

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// FuzzPayload checks that decode returns a message or an error for any payload, and that a
// decoded message is unchanged after it is encoded and decoded again.
func FuzzPayload(f *testing.F) {
	for name, b := range malformedPayloads {
		if len(b) < 1000 {
			f.Add(b)
		} else {
			f.Logf("%s: too long for the seed corpus", name)
		}
	}
	body, _ := msgpack.Marshal(echoMessage{Text: "x"})
	for _, s := range []trace.Span{{}, trace.Root()} {
		b, err := encode(s, message{ID: 1, Kind: "echo", Body: body, ErrorText: "none"})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b[headerLen:])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := decode(b)
		if err != nil {
			return
		}
		frame, err := encode(trace.Span{}, got.message)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decode(frame[headerLen:])
		if err != nil || !reflect.DeepEqual(got.message, again.message) {
			t.Errorf("decoded %+v, after encoding and decoding it again got %+v, %v", got.message, again.message, err)
		}
	})
}

// FuzzFrames checks that readFrame returns complete frames or an error for any bytes on a
// connection, and never part of a frame.
func FuzzFrames(f *testing.F) {
	one := sealFrame(append(make([]byte, headerLen), "payload"...))
	f.Add(one)
	f.Add(append(bytes.Clone(one), one...))
	f.Add(one[:len(one)-1])
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bytes.NewReader(b)
		for {
			start := len(b) - r.Len()
			payload, err := readFrame(r, 1<<16)
			if err != nil {
				return
			}
			if frame := sealFrame(append(make([]byte, headerLen), payload...)); !bytes.Equal(frame, b[start:start+len(frame)]) {
				t.Errorf("input %q does not start with the frame of the payload %q that was read from it", b[start:], payload)
			}
		}
	})
}

// FuzzHello checks that any first payload is decoded as a Hello or rejected with an error, and
// that a decoded Hello is unchanged after it is encoded and decoded again.
func FuzzHello(f *testing.F) {
	b, _ := msgpack.Marshal(Hello{Version: 1, Node: "n", Incarnation: 7})
	f.Add(b)
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var hello Hello
		if Unmarshal(b, &hello) != nil {
			return
		}
		var again Hello
		out, err := msgpack.Marshal(hello)
		if err != nil || Unmarshal(out, &again) != nil || again != hello {
			t.Errorf("decoded %+v, after encoding and decoding it again got %+v, %v", hello, again, err)
		}
	})
}
