package trace

import "net/http"

// The B3 headers, in canonical form. (DESIGN 2.2)
const (
	HeaderTrace  = "X-B3-Traceid"
	HeaderSpan   = "X-B3-Spanid"
	HeaderParent = "X-B3-Parentspanid"
)

// ReadB3 returns the span that the headers name; ok is false if there is none, or if any of
// its identifiers is malformed.
func ReadB3(h http.Header) (s Span, ok bool) {
	t, ok := ParseTraceID(h.Get(HeaderTrace))
	if !ok {
		return Span{}, false
	}
	id, ok := ParseID(h.Get(HeaderSpan))
	if !ok {
		return Span{}, false
	}
	var parent ID
	if p := h.Get(HeaderParent); p != "" {
		if parent, ok = ParseID(p); !ok {
			return Span{}, false
		}
	}
	return Join(t, id, parent, 0), true
}

// WriteB3 sets the B3 headers to those of s, in place of others.
func WriteB3(h http.Header, s Span) {
	h.Set(HeaderTrace, s.Trace.String())
	h.Set(HeaderSpan, s.ID.String())
	h.Del(HeaderParent)
	if s.Parent != 0 {
		h.Set(HeaderParent, s.Parent.String())
	}
}
