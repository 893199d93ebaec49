package trace

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestB3 checks that malformed identifiers are none, and that others are read as they were
// written.
func TestB3(t *testing.T) {
	for name, headers := range map[string][3]string{
		"no headers":            {"", "", ""},
		"no span":               {"0123456789abcdef", "", ""},
		"no trace":              {"", "0123456789abcdef", ""},
		"trace not hexadecimal": {"0123456789abcdeg", "0123456789abcdef", ""},
		"span too short":        {"0123456789abcdef", "123", ""},
		"trace zero":            {"0000000000000000", "0123456789abcdef", ""},
		"span zero":             {"0123456789abcdef", "0000000000000000", ""},
		"trace too long":        {"0123456789abcdef0", "0123456789abcdef", ""},
		"parent malformed":      {"0123456789abcdef", "0123456789abcdef", "x"},
		"trace with a sign":     {"+123456789abcdef", "0123456789abcdef", ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			h.Set("X-B3-TraceId", headers[0])
			h.Set("X-B3-SpanId", headers[1])
			h.Set("X-B3-ParentSpanId", headers[2])
			if s, ok := ReadB3(h); ok {
				t.Errorf("read as %+v", s)
			}
		})
	}
	for name, id := range map[string]string{"64 bits": "0123456789abcdef", "128 bits": "0123456789abcdef0123456789abcdef"} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{"X-B3-Traceid": {id}, "X-B3-Spanid": {"00000000000000aa"}, "X-B3-Parentspanid": {"00000000000000bb"}}
			s, ok := ReadB3(h)
			if !ok || s.Trace.String() != id || s.ID != 0xaa || s.Parent != 0xbb {
				t.Errorf("read: %v, %+v", ok, s)
			}
			WriteB3(h, Root())
			if h.Get("X-B3-ParentSpanId") != "" {
				t.Error("a root has a parent")
			}
		})
	}
}

// TestPrefix checks that a message's span is read as it was written, and that a message
// without a complete prefix is returned byte for byte.
func TestPrefix(t *testing.T) {
	s := Join(TraceID{Hi: 1, Lo: 2}, 3, 4, 5)
	message := AppendPrefix(nil, s)
	message = append(message, "plain"...)
	got, plain, ok := CutPrefix(message)
	if !ok || string(plain) != "plain" || got.Trace != s.Trace || got.ID != 3 || got.Parent != 4 || got.Counter() != 5 {
		t.Errorf("%v %q %+v", ok, plain, got)
	}
	for n := range prefixLen {
		if _, plain, ok := CutPrefix(message[:n]); ok || string(plain) != string(message[:n]) {
			t.Errorf("%d bytes of a prefix were taken for one", n)
		}
	}
}

// TestFullQueue checks that a full queue drops and counts events without blocking, and that
// events without a collector count as failed.
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
