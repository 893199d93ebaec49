package transport

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"curlewwalk/internal/trace"
	"curlewwalk/tests/golden"
)

// The encoding of a frame, with and without a span, matches the golden files, so that processes
// of earlier versions can decode it. The golden files decode to the same message.
func TestGoldenFrame(t *testing.T) {
	golden.Value(t, golden.Msgpack, "message.msgpack", &message{})
	var m message
	golden.Fill(&m, golden.Msgpack.Tag)
	span, _, traced := trace.CutPrefix(append([]byte{0xc1, 'B', '3', 1}, bytes.Repeat([]byte{0, 0, 0, 0, 0, 0, 0, 9}, 5)...))
	if !traced {
		t.Fatal("the trace prefix was not recognized")
	}
	for name, s := range map[string]trace.Span{"frame": {}, "frame-with-span": span} {
		sealed, err := encode(s, m)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, sealed)
		stored, err := os.ReadFile(golden.Path(name))
		if err != nil {
			t.Fatal(err)
		}
		payload, err := readFrame(bytes.NewReader(stored), MaxFrameSize)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(payload)
		if err != nil || got.traced == s.IsZero() || got.span.Trace != s.Trace || !reflect.DeepEqual(got.message, m) {
			t.Errorf("%s: got %+v, %v, want the message and span that were encoded", name, got, err)
		}
	}
}
