package transport

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/trace"
)

// FuzzPayload: whatever a payload holds, it is a message or an error; a message is
// written back as one that reads the same.
func FuzzPayload(f *testing.F) {
	for name, b := range malformedPayloads {
		if len(b) < 1000 {
			f.Add(b)
		} else {
			f.Logf("%s is not among the seeds", name)
		}
	}
	body, _ := msgpack.Marshal(echoMessage{Text: "x"})
	for _, s := range []trace.Span{{}, trace.Root()} {
		b, err := encode(s, message{ID: 1, Kind: "echo", Body: body, Fault: "none"})
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
			t.Errorf("%+v was decoded again as %+v, %v", got.message, again.message, err)
		}
	})
}

// FuzzFrames: whatever bytes come on a connection, whole frames are read or an error is;
// nothing is returned of a frame that is not whole.
func FuzzFrames(f *testing.F) {
	one := sealFrame(append(make([]byte, headerLen), "payload"...))
	f.Add(one)
	f.Add(append(bytes.Clone(one), one...))
	f.Add(one[:len(one)-1])
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bytes.NewReader(b)
		for {
			at := len(b) - r.Len()
			payload, err := readFrame(r, 1<<16)
			if err != nil {
				return
			}
			if whole := sealFrame(append(make([]byte, headerLen), payload...)); !bytes.Equal(whole, b[at:at+len(whole)]) {
				t.Errorf("%q was read as %q", b[at:], payload)
			}
		}
	})
}

// FuzzHello: whatever comes first, it is a Hello, which encodes to the same, or an error.
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
			t.Errorf("%+v was decoded again as %+v, %v", hello, again, err)
		}
	})
}
