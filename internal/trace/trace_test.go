package trace

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// Malformed identifiers are none; whole ones come back as they were written.
func TestB3(t *testing.T) {
	for _, bad := range [][3]string{
		{"", "", ""},
		{"0123456789abcdef", "", ""},
		{"", "0123456789abcdef", ""},
		{"0123456789abcdeg", "0123456789abcdef", ""},
		{"0123456789abcdef", "123", ""},
		{"0000000000000000", "0123456789abcdef", ""},
		{"0123456789abcdef", "0000000000000000", ""},
		{"0123456789abcdef0", "0123456789abcdef", ""},
		{"0123456789abcdef", "0123456789abcdef", "x"},
		{"+123456789abcdef", "0123456789abcdef", ""},
	} {
		h := http.Header{}
		h.Set("X-B3-TraceId", bad[0])
		h.Set("X-B3-SpanId", bad[1])
		h.Set("X-B3-ParentSpanId", bad[2])
		if s, ok := ReadB3(h); ok {
			t.Errorf("%v was read as %+v", bad, s)
		}
	}
	for _, id := range []string{"0123456789abcdef", "0123456789abcdef0123456789abcdef"} {
		h := http.Header{"X-B3-Traceid": {id}, "X-B3-Spanid": {"00000000000000aa"}, "X-B3-Parentspanid": {"00000000000000bb"}}
		s, ok := ReadB3(h)
		if !ok || s.Trace.String() != id || s.ID != 0xaa || s.Parent != 0xbb {
			t.Errorf("%s: %v %+v", id, ok, s)
		}
		WriteB3(h, Root())
		if h.Get("X-B3-ParentSpanId") != "" {
			t.Error("a root has a parent")
		}
	}
}

// A message with a prefix gives its span back; every shorter or other message
// comes back byte for byte.
func TestPrefix(t *testing.T) {
	s := Join(TraceID{Hi: 1, Lo: 2}, 3, 4, 5)
	msg := AppendPrefix(nil, s)
	msg = append(msg, "plain"...)
	got, plain, ok := CutPrefix(msg)
	if !ok || string(plain) != "plain" || got.Trace != s.Trace || got.ID != 3 || got.Parent != 4 || got.Counter() != 5 {
		t.Errorf("%v %q %+v", ok, plain, got)
	}
	for n := range prefixLen {
		if _, plain, ok := CutPrefix(msg[:n]); ok || string(plain) != string(msg[:n]) {
			t.Errorf("%d bytes of a prefix were taken for one", n)
		}
	}
}

// A full queue drops and counts; putting does not wait for anybody.
func TestFullQueue(t *testing.T) {
	q := NewQueue("n", 1, 3)
	for range 10 {
		q.Put(Root(), ClientStart, Event{})
	}
	if st := q.Stats(); st.Accepted != 3 || st.Dropped != 7 || st.Queued != 3 {
		t.Errorf("%+v", st)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w := Publisher{Queue: q, CollectorFor: func(TraceID) (string, bool) { return "", false }, Send: nil, FlushInterval: time.Hour, MaxBatch: 2}
	w.Run(ctx)
	if st := q.Stats(); st.Failed != 3 || st.Queued != 0 {
		t.Errorf("without a collector: %+v", st)
	}
}
