package trace

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestB3Headers checks that ReadB3 finds no span if an identifier is missing or malformed, that it
// returns well-formed identifiers unchanged, and that WriteB3 removes the parent header for a root.
func TestB3Headers(t *testing.T) {
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
				t.Errorf("ReadB3 returned %+v, want no span", s)
			}
		})
	}
	for name, id := range map[string]string{"64 bits": "0123456789abcdef", "128 bits": "0123456789abcdef0123456789abcdef"} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{"X-B3-Traceid": {id}, "X-B3-Spanid": {"00000000000000aa"}, "X-B3-Parentspanid": {"00000000000000bb"}}
			s, ok := ReadB3(h)
			if !ok || s.Trace.String() != id || s.ID != 0xaa || s.Parent != 0xbb {
				t.Errorf("ReadB3 returned ok %v, span %+v, want the identifiers of the headers", ok, s)
			}
			WriteB3(h, Root())
			if h.Get("X-B3-ParentSpanId") != "" {
				t.Error("WriteB3 left a parent header for a root span")
			}
		})
	}
}

// TestCutPrefix checks that CutPrefix returns the span that AppendPrefix wrote, and that it returns a
// message without a complete prefix unchanged.
func TestCutPrefix(t *testing.T) {
	s := Join(TraceID{Hi: 1, Lo: 2}, 3, 4, 5)
	message := AppendPrefix(nil, s)
	message = append(message, "plain"...)
	got, plain, ok := CutPrefix(message)
	if !ok || string(plain) != "plain" || got.Trace != s.Trace || got.ID != 3 || got.Parent != 4 || got.Counter() != 5 {
		t.Errorf("CutPrefix returned traced %v, message %q, span %+v, want the span and message that were written", ok, plain, got)
	}
	for n := range prefixLen {
		if _, plain, ok := CutPrefix(message[:n]); ok || string(plain) != string(message[:n]) {
			t.Errorf("the first %d bytes of a message were treated as a prefix, or changed", n)
		}
	}
}

// TestFullQueue checks that a full queue drops and counts further events without blocking, and that
// events of a trace without a collector count as failed.
func TestFullQueue(t *testing.T) {
	q := NewQueue("n", 1, 3)
	for range 10 {
		q.Put(Root(), ClientStart, Event{})
	}
	if st := q.Stats(); st.Accepted != 3 || st.Dropped != 7 || st.Queued != 3 {
		t.Errorf("got %+v, want 3 events accepted and queued, and 7 dropped", st)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p := Publisher{Queue: q, CollectorFor: func(TraceID) (string, bool) { return "", false }, Send: nil, FlushInterval: time.Hour, MaxBatch: 2}
	p.Run(ctx)
	if st := q.Stats(); st.Failed != 3 || st.Queued != 0 {
		t.Errorf("without a collector: got %+v, want 3 events failed and none queued", st)
	}
}
