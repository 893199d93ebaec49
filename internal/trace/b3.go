package trace

import "net/http"

// The names of the B3 headers, in the canonical form of net/http. (DESIGN 2.2)
const (
	HeaderTrace  = "X-B3-Traceid"
	HeaderSpan   = "X-B3-Spanid"
	HeaderParent = "X-B3-Parentspanid"
)

// ReadB3 returns the span that the B3 headers identify. ok is false if the headers identify no
// span, or if one of the identifiers is malformed.
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

// WriteB3 sets the B3 headers to the identifiers of s, and replaces any that are already set. It removes
// the parent header if s is the root of a trace.
func WriteB3(h http.Header, s Span) {
	h.Set(HeaderTrace, s.Trace.String())
	h.Set(HeaderSpan, s.ID.String())
	h.Del(HeaderParent)
	if s.Parent != 0 {
		h.Set(HeaderParent, s.Parent.String())
	}
}
