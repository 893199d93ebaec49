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
		_, _, m, err := decode(b)
		if err != nil {
			return
		}
		out, err := encode(trace.Span{}, m)
		if err != nil {
			t.Fatal(err)
		}
		_, _, again, err := decode(out[headerLen:])
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Errorf("%+v was read back as %+v, %v", m, again, err)
		}
	})
}

// FuzzFrames: whatever bytes come on a connection, whole frames are read or an error is;
// nothing is taken of a frame that is not whole.
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
			p, err := readFrame(r, 1<<16)
			if err != nil {
				return
			}
			if whole := sealFrame(append(make([]byte, headerLen), p...)); !bytes.Equal(whole, b[at:at+len(whole)]) {
				t.Errorf("%q was taken for %q", b[at:], p)
			}
		}
	})
}

// FuzzHello: whatever comes first, the connection begins or is refused.
func FuzzHello(f *testing.F) {
	b, _ := msgpack.Marshal(Hello{Version: 1, Node: "n", Incarnation: 7})
	f.Add(b)
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var g Hello
		if Unmarshal(b, &g) != nil {
			return
		}
		var again Hello
		out, err := msgpack.Marshal(g)
		if err != nil || Unmarshal(out, &again) != nil || again != g {
			t.Errorf("%+v was read back as %+v, %v", g, again, err)
		}
	})
}
